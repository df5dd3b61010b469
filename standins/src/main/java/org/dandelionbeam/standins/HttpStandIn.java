package org.dandelionbeam.standins;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** HTTP server on loopback that passes complete requests to a handler, all on one thread. */
public final class HttpStandIn implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final long STOP_WAIT_MILLIS = 2_000;

  private final EventLoopGroup loop =
      new MultiThreadIoEventLoopGroup(
          1, new DefaultThreadFactory("stand-in", true), NioIoHandler.newFactory());
  private final Channel listener;

  private HttpStandIn(int port, Handler handler) {
    listener =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new Pipeline(handler))
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
            .syncUninterruptibly()
            .channel();
  }

  /**
   * Starts a server.
   *
   * @param port TCP port on loopback, 0 for any free one
   * @param handler responds to the requests
   * @return the listening server
   */
  public static HttpStandIn start(int port, Handler handler) {
    return new HttpStandIn(port, requireNonNull(handler, "handler"));
  }

  /**
   * Returns the port that the server listens on.
   *
   * @return the TCP port on loopback
   */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /** Closes the listener and every connection; closing again does nothing. */
  @Override
  public void close() {
    loop.shutdownGracefully(0, STOP_WAIT_MILLIS, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  /** Responds to requests. */
  @FunctionalInterface
  public interface Handler {

    /**
     * Handles one request; it may respond now or later, from any thread.
     *
     * @param request the request with its complete body
     * @param exchange sends the response
     */
    void handle(StandInRequest request, StandInExchange exchange);
  }

  private static final class Pipeline extends ChannelInitializer<Channel> {
    private final Handler handler;

    private Pipeline(Handler handler) {
      this.handler = handler;
    }

    @Override
    protected void initChannel(Channel channel) {
      channel
          .pipeline()
          .addLast(new HttpServerCodec())
          .addLast(new HttpServerKeepAliveHandler())
          .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
          .addLast(new RequestHandler(handler));
    }
  }

  private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Handler handler;

    private RequestHandler(Handler handler) {
      this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
      StandInExchange exchange = new StandInExchange(context.channel());
      handler.handle(StandInRequest.of(message), exchange);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
