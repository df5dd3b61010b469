package org.dandelionbeam.standins;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Sends the response to one request of a stand-in: complete, in chunks, or cut off. */
public final class StandInExchange {
  private final Channel channel;

  /**
   * Wraps the connection that a request came on.
   *
   * @param channel the connection
   */
  StandInExchange(Channel channel) {
    this.channel = channel;
  }

  /**
   * Sends a complete response.
   *
   * @param status HTTP status
   * @param headers headers except Content-Length
   * @param body the body
   */
  public void respond(int status, Map<String, String> headers, byte[] body) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
    headers.forEach(response.headers()::set);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    channel.writeAndFlush(response);
  }

  /**
   * Starts a chunked response.
   *
   * @param status HTTP status
   * @param headers headers except Transfer-Encoding
   */
  public void begin(int status, Map<String, String> headers) {
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    headers.forEach(response.headers()::set);
    HttpUtil.setTransferEncodingChunked(response, true);
    channel.writeAndFlush(response);
  }

  /**
   * Sends a chunk of a started response.
   *
   * @param bytes the chunk, not empty
   */
  public void chunk(byte[] bytes) {
    channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
  }

  /** Ends a started response. */
  public void end() {
    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  /** Closes the connection without the rest of the response. */
  public void abort() {
    channel.close();
  }

  /**
   * Runs a task on the server's thread after a delay.
   *
   * @param delay time to wait
   * @param task the task
   */
  public void after(Duration delay, Runnable task) {
    channel.eventLoop().schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  /**
   * Runs a task when the connection closes.
   *
   * @param task the task
   */
  public void onClosed(Runnable task) {
    channel.closeFuture().addListener(closed -> task.run());
  }

  /**
   * Tells whether the caller is still connected.
   *
   * @return false once the connection is closed
   */
  public boolean isOpen() {
    return channel.isActive();
  }
}
