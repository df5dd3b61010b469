package org.dandelionbeam.entry.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.Limits;

/** HTTP server for callers on one event loop, which is the thread of the entry. */
public final class EntryServer implements AutoCloseable {
  private static final int LOW_WATER_BYTES = 32 << 10;
  private static final int HIGH_WATER_BYTES = 64 << 10;
  private static final int ACCEPT_BACKLOG = 1_024;

  private final EventLoopGroup group;
  private final EntryState state;
  private final ChannelGroup connections =
      new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
  private Channel listener;

  private EntryServer(EventLoopGroup group, EntryState state) {
    this.group = group;
    this.state = state;
  }

  /**
   * Creates an entry that does not listen yet.
   *
   * @param context components that its connections share
   * @param name name of its thread
   * @return the entry, whose event loop runs
   */
  public static EntryServer of(EntryContext context, String name) {
    requireNonNull(context, "context");
    EventLoopGroup group =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    return new EntryServer(group, new EntryState(context, group.next()));
  }

  /**
   * Starts to accept connections of callers.
   *
   * @param host IP address to listen on
   * @param port TCP port, 0 for any
   * @return the port that the entry listens on
   * @throws FleetException with {@code INVALID_SETTING} if the address can't be used
   */
  public int listen(String host, int port) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
            .childHandler(new Initializer());
    ChannelFuture bound = bootstrap.bind(host, port).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new FleetException(
          ErrorCode.INVALID_SETTING, "cannot listen on caller address " + host + ":" + port);
    }
    listener = bound.channel();
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /**
   * Returns the event loop of the entry.
   *
   * @return the loop
   */
  public EventLoop loop() {
    return state.loop();
  }

  /**
   * Returns the number of open requests.
   *
   * @return the count, completed on the event loop of the entry
   */
  public CompletableFuture<Integer> openRequests() {
    return CompletableFuture.supplyAsync(state::openRequests, state.loop());
  }

  /**
   * Ends the running streams with an event that asks their callers to resume through another
   * router.
   */
  public void moveStreamsAway() {
    state.loop().execute(state::moveStreamsAway);
  }

  /** Stops accepting connections; open ones stay. */
  public void stopAccepting() {
    if (listener != null) {
      listener.close().awaitUninterruptibly();
    }
  }

  /**
   * Closes the listener and all connections; callers can resume their streams through other
   * routers.
   */
  @Override
  public void close() {
    stopAccepting();
    state.stop();
    connections.close().awaitUninterruptibly();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      connections.add(channel);
      Limits limits =
          state
              .context()
              .configuration()
              .get()
              .map(Configuration::limits)
              .orElse(Limits.defaults());
      HttpDecoderConfig config =
          new HttpDecoderConfig()
              .setMaxInitialLineLength(limits.maxHeaderBytes())
              .setMaxHeaderSize(limits.maxHeaderBytes());
      RequestTimer timer = new RequestTimer(limits.readTimeout());
      channel
          .pipeline()
          .addLast(timer)
          .addLast(new HttpServerCodec(config))
          .addLast(new BoundedAggregator(state, limits.maxBodyBytes()))
          .addLast(new CallerConnection(state, timer, limits.maxOpenPerConnection()));
    }
  }
}
