package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.dandelionbeam.routing.Endpoint;

/** Pool of connections to upstreams. Confined to one event loop. */
final class UpstreamConnectionPool {
  /**
   * Connecting takes a few milliseconds within a region; a lost packet would be retransmitted only
   * after 1 s.
   */
  private static final int CONNECT_TIMEOUT_MS = 450;

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 32_768;
  private static final int MAX_CHUNK_BYTES = 16_384;

  private final Bootstrap bootstrap;
  private final Map<Endpoint, Deque<UpstreamConnection>> idle = new HashMap<>();
  private long openedCount;

  UpstreamConnectionPool(EventLoop loop, ByteBufAllocator allocator) {
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(new Pipeline());
  }

  /** Starts an exchange on an idle connection or on a new one. */
  void start(Endpoint endpoint, UpstreamExchange exchange) {
    requireNonNull(exchange, "exchange");
    Deque<UpstreamConnection> idleConnections = idle.get(endpoint);
    while (idleConnections != null && !idleConnections.isEmpty()) {
      UpstreamConnection connection = idleConnections.pollLast();
      if (connection.isUsable()) {
        exchange.connected(connection);
        return;
      }
      connection.close();
    }
    connect(endpoint, exchange);
  }

  private void connect(Endpoint endpoint, UpstreamExchange exchange) {
    openedCount++;
    ChannelFuture connecting = bootstrap.connect(endpoint.host(), endpoint.port());
    connecting.addListener(
        future -> {
          if (!future.isSuccess()) {
            exchange.connectFailed(future.cause());
            return;
          }
          Channel channel = connecting.channel();
          UpstreamConnection connection = channel.pipeline().get(UpstreamConnection.class);
          connection.attachTo(this, endpoint);
          if (exchange.hasEnded()) {
            release(connection);
          } else {
            exchange.connected(connection);
          }
        });
  }

  /**
   * Returns a connection whose exchange is complete to the pool, or closes it if it is unusable.
   */
  void release(UpstreamConnection connection) {
    if (connection.isUsable()) {
      idle.computeIfAbsent(connection.endpoint(), key -> new ArrayDeque<>()).addLast(connection);
    } else {
      connection.close();
    }
  }

  /** Removes a closed connection. */
  void remove(UpstreamConnection connection) {
    Deque<UpstreamConnection> idleConnections = idle.get(connection.endpoint());
    if (idleConnections != null) {
      idleConnections.remove(connection);
      if (idleConnections.isEmpty()) {
        idle.remove(connection.endpoint());
      }
    }
  }

  /** Returns the number of connections that were opened so far. */
  long openedCount() {
    return openedCount;
  }

  /** Sets up the channel handlers of a connection to an upstream. */
  static final class Pipeline extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      HttpDecoderConfig config =
          new HttpDecoderConfig()
              .setMaxInitialLineLength(MAX_LINE_BYTES)
              .setMaxHeaderSize(MAX_HEADER_BYTES)
              .setMaxChunkSize(MAX_CHUNK_BYTES);
      channel
          .pipeline()
          .addLast(new HttpRequestEncoder())
          .addLast(new UpstreamResponseDecoder(config))
          .addLast(new UpstreamConnection());
    }
  }
}
