package org.dandelionbeam.entry.wiring;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Limits the time from the first to the last byte of a request, and the time that a connection
 * stays open without a request.
 */
final class RequestTimer extends ChannelInboundHandlerAdapter {
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(75);

  /** Event fired when a request was not complete in time. */
  enum Expired {
    /** A part of a request was received. */
    PARTIAL_REQUEST,
    /** No byte of a request was received. */
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

  /** Returns whether a request was received in part. */
  boolean isPartial() {
    return partial;
  }

  /** Stops the timer when a request is complete; no limit applies until its response has ended. */
  void requestCompleted() {
    partial = false;
    stop();
  }

  /**
   * Restarts the idle timeout when a response has ended, unless the next request has already begun.
   */
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
