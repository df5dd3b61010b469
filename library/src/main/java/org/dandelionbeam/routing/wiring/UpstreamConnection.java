package org.dandelionbeam.routing.wiring;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import org.dandelionbeam.routing.Endpoint;

/** A connection to an upstream, which carries at most one exchange at a time. */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
  /**
   * Idle timeout for upstreams that don't announce one; most of them keep idle connections longer.
   */
  private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(4);

  /** Margin that keeps a request from being sent while the upstream closes the idle connection. */
  private static final Duration IDLE_MARGIN = Duration.ofMillis(700);

  private Channel channel;
  private UpstreamConnectionPool pool;
  private Endpoint endpoint;
  private UpstreamExchange exchange;
  private long idleTimeoutNanos = DEFAULT_IDLE_TIMEOUT.toNanos();
  private long idleSinceNanos = System.nanoTime();
  private boolean unusable;
  private int exchangeCount;

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    channel = ctx.channel();
  }

  void attachTo(UpstreamConnectionPool owner, Endpoint address) {
    pool = owner;
    endpoint = address;
  }

  Endpoint endpoint() {
    return endpoint;
  }

  Channel channel() {
    return channel;
  }

  boolean isUsable() {
    long idleTimeNanos = System.nanoTime() - idleSinceNanos;
    return !unusable && channel.isActive() && idleTimeNanos < idleTimeoutNanos;
  }

  /** Starts an exchange, whose request is sent next. */
  void start(UpstreamExchange newExchange, boolean isHeadRequest) {
    exchange = newExchange;
    exchangeCount++;
    decoder().expectResponse(isHeadRequest);
  }

  private UpstreamResponseDecoder decoder() {
    return channel.pipeline().get(UpstreamResponseDecoder.class);
  }

  /** Tells whether the connection has carried another exchange before the current one. */
  boolean isReused() {
    return exchangeCount > 1;
  }

  /** Records that the head of the response has arrived. */
  void recordResponseStart() {
    decoder().recordStart();
  }

  /** Records that the response is complete; the request may still be in the course of writing. */
  void recordResponseEnd() {
    exchange = null;
    if (!decoder().expectNothing()) {
      close();
    }
  }

  /** Returns the connection to the pool after the end of an exchange. */
  void returnToPool() {
    idleSinceNanos = System.nanoTime();
    channel.config().setAutoRead(true);
    pool.release(this);
  }

  void idleTimeout(Duration timeout) {
    idleTimeoutNanos = Math.max(0, timeout.minus(IDLE_MARGIN).toNanos());
  }

  void close() {
    unusable = true;
    exchange = null;
    channel.close();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (exchange == null) {
        // Bytes after a complete response belong to no request.
        close();
      } else {
        exchange.received((HttpObject) message);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (exchange != null) {
      exchange.readComplete();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    unusable = true;
    if (exchange != null) {
      exchange.connectionLost(cause.toString());
    }
    ctx.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    unusable = true;
    if (pool != null) {
      pool.remove(this);
    }
    if (exchange != null) {
      exchange.connectionLost("connection closed by the upstream");
    }
  }
}
