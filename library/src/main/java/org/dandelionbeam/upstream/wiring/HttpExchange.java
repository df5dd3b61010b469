package org.dandelionbeam.upstream.wiring;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.upstream.ExchangeFault;

/** HTTP/1.1 exchange; it has its connection to itself until the response is complete. */
final class HttpExchange implements Exchange {
  private static final int MIN_FINAL_STATUS = 200;

  private final UpstreamClient client;
  private final InetSocketAddress address;
  private final long idleTimeoutNanos;
  private final Listener listener;
  private Channel channel;
  private Future<?> timer;
  private long lastPartNanos;
  private boolean keepAlive;
  private boolean reading = true;
  private boolean headReceived;
  private boolean headRequest;
  private boolean done;

  HttpExchange(
      UpstreamClient client, InetSocketAddress address, Duration idleTimeout, Listener listener) {
    this.client = client;
    this.address = address;
    this.idleTimeoutNanos = idleTimeout.toNanos();
    this.listener = listener;
  }

  void start(Channel connected, FullHttpRequest request) {
    channel = connected;
    headRequest = request.method().equals(HttpMethod.HEAD);
    channel.pipeline().get(ExchangeHandler.class).attach(this);
    lastPartNanos = System.nanoTime();
    scheduleTimer(idleTimeoutNanos);
    channel.writeAndFlush(request);
  }

  boolean isDone() {
    return done;
  }

  @Override
  public void abandon() {
    if (!done) {
      finish();
      close();
    }
  }

  @Override
  public void setReading(boolean nowReading) {
    reading = nowReading;
    if (channel != null && !done) {
      channel.config().setAutoRead(nowReading);
    }
  }

  void received(HttpObject part) {
    if (done) {
      return;
    }
    lastPartNanos = System.nanoTime();
    if (part.decoderResult().isFailure()) {
      fail(ExchangeFault.MALFORMED);
      return;
    }
    if (part instanceof HttpResponse head) {
      receivedHead(head);
    }
    if (part instanceof HttpContent content && headReceived && !done) {
      receivedContent(content);
    }
  }

  void connectionLost() {
    if (!done) {
      fail(ExchangeFault.CONNECTION_LOST);
    } else {
      client.removeIdle(address, channel);
    }
  }

  void fail(ExchangeFault fault) {
    if (!done) {
      finish();
      close();
      listener.failed(fault);
    }
  }

  private void receivedHead(HttpResponse head) {
    if (head.status().code() < MIN_FINAL_STATUS) {
      return;
    }
    headReceived = true;
    keepAlive = HttpUtil.isKeepAlive(head);
    if (isFramed(head)) {
      listener.head(head);
    } else {
      fail(ExchangeFault.MALFORMED);
    }
  }

  /**
   * Tells whether the response has its own end marker. Without one it ends with the connection, and
   * a complete response can't be told from one that was cut off.
   */
  private boolean isFramed(HttpResponse head) {
    return headRequest
        || HttpUtil.isContentLengthSet(head)
        || HttpUtil.isTransferEncodingChunked(head)
        || head.status().equals(HttpResponseStatus.NO_CONTENT)
        || head.status().equals(HttpResponseStatus.NOT_MODIFIED);
  }

  private void receivedContent(HttpContent content) {
    if (content.content().isReadable()) {
      listener.body(content.content());
    }
    if (content instanceof LastHttpContent && !done) {
      finish();
      release();
      listener.end();
    }
  }

  private void finish() {
    done = true;
    if (timer != null) {
      timer.cancel(false);
    }
  }

  private void release() {
    channel.config().setAutoRead(true);
    if (keepAlive && channel.isActive()) {
      client.addIdle(address, channel);
    } else {
      channel.close();
    }
  }

  private void close() {
    if (channel != null) {
      channel.close();
    }
  }

  private void scheduleTimer(long delayNanos) {
    timer = channel.eventLoop().schedule(this::checkIdleTimeout, delayNanos, TimeUnit.NANOSECONDS);
  }

  private void checkIdleTimeout() {
    long idleNanos = System.nanoTime() - lastPartNanos;
    if (reading && idleNanos >= idleTimeoutNanos) {
      fail(ExchangeFault.TIMED_OUT);
    } else {
      scheduleTimer(Math.max(idleTimeoutNanos - idleNanos, TimeUnit.MILLISECONDS.toNanos(1)));
    }
  }
}
