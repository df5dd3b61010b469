package org.dandelionbeam.daemon.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** Connection pool for one address, without pipelining; confined to one event loop. */
final class LoadClient {
  private final Deque<Channel> idle = new ArrayDeque<>();
  private final Deque<InFlightRequest> waiting = new ArrayDeque<>();
  private final Deque<InFlightRequest> unexpired = new ArrayDeque<>();
  private final Map<InFlightRequest, Channel> active = new HashMap<>();
  private final Bootstrap bootstrap = new Bootstrap();
  private final String host;
  private final Duration timeout;
  private final int maxConnections;
  private int connections;

  LoadClient(EventLoop loop, InetSocketAddress address, int maxConnections, Duration timeout) {
    this.timeout = timeout;
    this.maxConnections = maxConnections;
    host = NetUtil.toSocketAddressString(address);
    bootstrap
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .remoteAddress(address)
        .handler(new Pipeline());
  }

  /** Sends a request as soon as a connection is idle. */
  void send(InFlightRequest inFlight) {
    waiting.addLast(inFlight);
    unexpired.addLast(inFlight);
    expire(System.nanoTime());
    if (idle.isEmpty() && connections < maxConnections) {
      connect();
    } else {
      useIdle();
    }
  }

  /** Fails the requests that have exceeded the timeout and closes their connections. */
  void expire(long nowNanos) {
    while (!unexpired.isEmpty() && isDue(unexpired.peekFirst(), nowNanos)) {
      InFlightRequest inFlight = unexpired.pollFirst();
      inFlight.fail("TIMEOUT");
      Channel channel = active.remove(inFlight);
      if (channel != null) {
        channel.close();
      }
    }
  }

  private boolean isDue(InFlightRequest inFlight, long nowNanos) {
    return inFlight.hasEnded() || nowNanos - inFlight.intendedNanos() > timeout.toNanos();
  }

  private void connect() {
    connections++;
    ChannelFuture connected = bootstrap.connect();
    connected.addListener(
        done -> {
          if (done.isSuccess()) {
            release(connected.channel());
          } else {
            connections--;
            failNext();
          }
        });
  }

  private void failNext() {
    InFlightRequest inFlight = waiting.pollFirst();
    if (inFlight != null) {
      inFlight.fail("CONNECT");
    }
  }

  private void release(Channel channel) {
    idle.addLast(channel);
    useIdle();
  }

  private void useIdle() {
    while (!idle.isEmpty() && !waiting.isEmpty()) {
      InFlightRequest inFlight = waiting.pollFirst();
      if (!inFlight.hasEnded()) {
        Channel channel = idle.pollLast();
        channel.pipeline().get(Handler.class).start(channel, inFlight);
      }
    }
  }

  private DefaultFullHttpRequest request(RequestSpec spec) {
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(spec.method()),
            spec.path(),
            Unpooled.copiedBuffer(spec.body(), StandardCharsets.UTF_8));
    HttpHeaders headers = request.headers();
    headers.set(HttpHeaderNames.HOST, host);
    headers.set(HttpHeaderNames.AUTHORIZATION, "Bearer " + spec.team().key());
    headers.set("X-Request-Id", spec.id());
    headers.setInt(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
    if (!spec.body().isEmpty()) {
      headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    }
    if (spec.kind().idempotencyKey()) {
      headers.set("Idempotency-Key", spec.id());
    }
    return request;
  }

  private final class Pipeline extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      channel.pipeline().addLast(new HttpClientCodec()).addLast(new Handler());
    }
  }

  private final class Handler extends SimpleChannelInboundHandler<HttpObject> {
    private InFlightRequest inFlight;
    private boolean reusable;

    void start(Channel channel, InFlightRequest next) {
      inFlight = next;
      active.put(next, channel);
      channel.writeAndFlush(request(next.spec()));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
      if (inFlight == null || inFlight.hasEnded() || part.decoderResult().isFailure()) {
        context.close();
        return;
      }
      if (part instanceof HttpResponse response) {
        reusable = HttpUtil.isKeepAlive(response);
        HttpHeaders headers = response.headers();
        inFlight.onHead(
            response.status().code(),
            headers.get(HttpHeaderNames.CONTENT_TYPE, ""),
            headers.get("X-Request-Id", ""));
      }
      if (part instanceof HttpContent content) {
        inFlight.onContent(content.content());
      }
      if (part instanceof LastHttpContent) {
        finish(context.channel());
      }
    }

    private void finish(Channel channel) {
      InFlightRequest finished = inFlight;
      inFlight = null;
      active.remove(finished);
      finished.onEnd();
      if (reusable) {
        release(channel);
      } else {
        channel.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      connections--;
      idle.remove(context.channel());
      if (inFlight != null) {
        active.remove(inFlight);
        inFlight.fail("CUT");
      }
      if (!waiting.isEmpty()) {
        connect();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
