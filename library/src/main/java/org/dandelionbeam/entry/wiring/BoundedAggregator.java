package org.dandelionbeam.entry.wiring;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.Verdict;

/** Aggregates the parts of a request and refuses one that is too large with an error response. */
final class BoundedAggregator extends HttpObjectAggregator {
  private final int maxBytes;
  private final EntryState state;

  BoundedAggregator(EntryState state, int maxBytes) {
    super(maxBytes, true);
    this.state = state;
    this.maxBytes = maxBytes;
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
    ctx.writeAndFlush(tooLarge()).addListener(ChannelFutureListener.CLOSE);
  }

  @Override
  protected Object newContinueResponse(
      HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
    Object usual = super.newContinueResponse(start, maxContentLength, pipeline);
    if (!(usual instanceof HttpResponse response)
        || response.status().equals(HttpResponseStatus.CONTINUE)) {
      return usual;
    }
    ReferenceCountUtil.release(usual);
    return response.status().equals(HttpResponseStatus.EXPECTATION_FAILED)
        ? refusal(ErrorCode.MALFORMED_REQUEST, "the value of the Expect header is not supported")
        : tooLarge();
  }

  private FullHttpResponse tooLarge() {
    return refusal(ErrorCode.BODY_TOO_LARGE, "the body is above " + maxBytes + " bytes");
  }

  private FullHttpResponse refusal(ErrorCode code, String detail) {
    state.countRefusal(code.name());
    FullHttpResponse response = Responses.problem(code, Verdict.NOT_RUN, detail, Duration.ZERO);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    return response;
  }
}
