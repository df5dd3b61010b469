package org.dandelionbeam.entry.wiring;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the time from the first byte of a request to its last, and of a connection without one.
 */
final class RequestTimer extends ChannelInboundHandlerAdapter {
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(75);

  /** Event for the connection: a request was not whole in time. */
  enum Expired {
    /** Some bytes of a request came. */
    PARTIAL_REQUEST,
    /** No request came. */
    IDLE
  }

  private final Duration readTimeout;
  private Future<?> timer;
  private boolean partial;

  RequestTimer(Duration readTimeout) {
    this.readTimeout = readTimeout;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    restart(ctx, IDLE_TIMEOUT);
    ctx.fireChannelActive();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object bytes) {
    if (!partial) {
      partial = true;
      restart(ctx, readTimeout);
    }
    ctx.fireChannelRead(bytes);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    stop();
    ctx.fireChannelInactive();
  }

  /** Tells whether some bytes of a request came that is not whole. */
  boolean isPartial() {
    return partial;
  }

  /** A whole request came; no limit holds until its answer has ended. */
  void requestCompleted() {
    partial = false;
    stop();
  }

  /** The answer has ended and the connection waits for the next request. */
  void waitForRequest(ChannelHandlerContext ctx) {
    if (!partial) {
      restart(ctx, IDLE_TIMEOUT);
    }
  }

  private void restart(ChannelHandlerContext ctx, Duration wait) {
    stop();
    timer = ctx.executor().schedule(() -> expire(ctx), wait.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void expire(ChannelHandlerContext ctx) {
    ctx.fireUserEventTriggered(partial ? Expired.PARTIAL_REQUEST : Expired.IDLE);
  }

  private void stop() {
    if (timer != null) {
      timer.cancel(false);
    }
  }
}
