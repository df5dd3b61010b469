package org.dandelionbeam.upstream.wiring;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.dandelionbeam.upstream.ExchangeFault;

/**
 * HTTP/1.1 client of one event loop. It reuses idle connections, but closes a connection whose
 * exchange was abandoned or failed.
 */
public final class UpstreamClient {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int MAX_IDLE_PER_ADDRESS = 64;
  private static final int MAX_HEADER_BYTES = 32 << 10;

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final Map<InetSocketAddress, Deque<Channel>> idle = new HashMap<>();

  private UpstreamClient(EventLoop loop) {
    this.loop = loop;
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(new Initializer());
  }

  /**
   * Returns a client without connections.
   *
   * @param loop the event loop on which all methods are called
   * @return the client
   */
  public static UpstreamClient of(EventLoop loop) {
    return new UpstreamClient(loop);
  }

  /**
   * Sends a request.
   *
   * @param address address of the upstream
   * @param request the request; the client releases it
   * @param reuse whether an idle connection may be used; false for requests that must not be
   *     repeated, because the upstream may be closing an idle connection
   * @param idleTimeout longest wait between two parts of the response
   * @param listener receives the response
   * @return the exchange
   */
  public Exchange send(
      InetSocketAddress address,
      FullHttpRequest request,
      boolean reuse,
      Duration idleTimeout,
      Exchange.Listener listener) {
    HttpExchange exchange = new HttpExchange(this, address, idleTimeout, listener);
    Channel idleChannel = reuse ? takeIdle(address) : null;
    if (idleChannel != null) {
      exchange.start(idleChannel, request);
      return exchange;
    }
    bootstrap
        .connect(address)
        .addListener((ChannelFuture connected) -> onConnected(connected, exchange, request));
    return exchange;
  }

  /** Closes all idle connections. */
  public void close() {
    loop.execute(
        () -> {
          idle.values().forEach(channels -> channels.forEach(Channel::close));
          idle.clear();
        });
  }

  private static void onConnected(
      ChannelFuture connected, HttpExchange exchange, FullHttpRequest request) {
    if (exchange.isDone()) {
      request.release();
      connected.channel().close();
    } else if (connected.isSuccess()) {
      exchange.start(connected.channel(), request);
    } else {
      request.release();
      exchange.fail(ExchangeFault.CONNECT_FAILED);
    }
  }

  void addIdle(InetSocketAddress address, Channel channel) {
    Deque<Channel> channels = idle.computeIfAbsent(address, key -> new ArrayDeque<>());
    if (channels.size() < MAX_IDLE_PER_ADDRESS) {
      channels.push(channel);
    } else {
      channel.close();
    }
  }

  void removeIdle(InetSocketAddress address, Channel channel) {
    Deque<Channel> channels = idle.get(address);
    if (channels != null) {
      channels.remove(channel);
    }
  }

  private Channel takeIdle(InetSocketAddress address) {
    Deque<Channel> channels = idle.get(address);
    while (channels != null && !channels.isEmpty()) {
      Channel channel = channels.pop();
      if (channel.isActive()) {
        return channel;
      }
    }
    return null;
  }

  private static final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      HttpDecoderConfig config = new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES);
      channel
          .pipeline()
          .addLast(new HttpClientCodec(config, false, true))
          .addLast(new ExchangeHandler());
    }
  }
}
