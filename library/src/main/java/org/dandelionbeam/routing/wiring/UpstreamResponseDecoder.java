package org.dandelionbeam.routing.wiring;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the responses of an upstream. Bytes that arrive while no response is due belong to no
 * request; they close the connection, so that they aren't read as the start of the next response.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
  /**
   * Bytes that may come before the response: interim responses, and a late one to an earlier
   * request.
   */
  private static final int MAX_BYTES_BEFORE_RESPONSE = 1 << 20;

  private boolean responseDue;
  private boolean responseStarted;
  private int bytesBeforeResponse;
  private boolean headRequest;

  UpstreamResponseDecoder(HttpDecoderConfig config) {
    super(config);
  }

  /**
   * Expects a response.
   *
   * @param isHeadRequest whether the request has the method HEAD, whose response has no body
   */
  void expectResponse(boolean isHeadRequest) {
    responseDue = true;
    responseStarted = false;
    bytesBeforeResponse = 0;
    headRequest = isHeadRequest;
  }

  /** Records that the head of the expected response has arrived. */
  void recordStart() {
    responseStarted = true;
  }

  /** Expects no bytes until the next request; returns false if some have arrived already. */
  boolean expectNothing() {
    responseDue = false;
    return actualReadableBytes() == 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (responseDue && !responseStarted) {
      bytesBeforeResponse += ((ByteBuf) message).readableBytes();
    }
    if (bytesBeforeResponse > MAX_BYTES_BEFORE_RESPONSE) {
      ReferenceCountUtil.release(message);
      ctx.fireExceptionCaught(
          new TooLongFrameException(
              "no response to the request within " + MAX_BYTES_BEFORE_RESPONSE + " bytes"));
    } else if (responseDue) {
      super.channelRead(ctx, message);
    } else {
      ReferenceCountUtil.release(message);
      ctx.close();
    }
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return headRequest || super.isContentAlwaysEmpty(message);
  }
}
