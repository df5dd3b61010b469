package org.dandelionbeam.standins;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** HTTP server of one stand-in on loopback; all its state is confined to one event loop. */
final class StandInServer implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 4 << 20;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Set<Channel> connections = new HashSet<>();
  private final CallHandler callHandler;
  private Channel listener;
  private int port;
  private Optional<FaultPlan.Armed> armed = Optional.empty();

  private StandInServer(CallHandler callHandler) {
    this.callHandler = callHandler;
  }

  static StandInServer start(int port, CallHandler callHandler) {
    StandInServer server = new StandInServer(requireNonNull(callHandler, "callHandler"));
    server.port = port;
    server.listen();
    return server;
  }

  int port() {
    return port;
  }

  EventLoop loop() {
    return loop;
  }

  void after(Duration delay, Runnable task) {
    loop.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  <T> T callOnLoop(Supplier<T> supplier) {
    if (loop.inEventLoop()) {
      return supplier.get();
    }
    return loop.submit(supplier::get).syncUninterruptibly().getNow();
  }

  int openConnections() {
    return callOnLoop(connections::size);
  }

  void arm(FaultPlan plan) {
    callOnLoop(
        () -> {
          clearFaultsOnLoop();
          if (plan.fault().isPerRequest()) {
            armed = Optional.of(plan.arm());
          } else {
            injectServerFault(plan.fault());
          }
          return null;
        });
  }

  void clearFaults() {
    callOnLoop(
        () -> {
          clearFaultsOnLoop();
          return null;
        });
    awaitBind();
  }

  void resetConnections() {
    Set.copyOf(connections).forEach(Call::reset);
  }

  Optional<FaultPlan> drawFault() {
    return armed.filter(FaultPlan.Armed::tryTrigger).map(FaultPlan.Armed::plan);
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private void injectServerFault(Fault fault) {
    if (fault == Fault.REFUSE_CONNECT) {
      listener.close();
      resetConnections();
    } else {
      callHandler.injectFault(fault);
    }
  }

  private void clearFaultsOnLoop() {
    armed = Optional.empty();
    if (!listener.isOpen()) {
      bind();
    }
  }

  /** Waits for a bind in progress, which is an earlier task of the same event loop. */
  private void awaitBind() {
    callOnLoop(() -> listener.isOpen());
  }

  private void listen() {
    bind().syncUninterruptibly();
    port = ((InetSocketAddress) listener.localAddress()).getPort();
  }

  private ChannelFuture bind() {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new Pipeline())
            .bind(InetAddress.getLoopbackAddress(), port);
    listener = bound.channel();
    return bound;
  }

  private void handle(Call call) {
    if (!call.path().equals("/faults")) {
      callHandler.handle(call);
      return;
    }
    if (call.method().equals(HttpMethod.DELETE)) {
      clearFaultsOnLoop();
    } else {
      arm(planOf(call.json()));
    }
    call.send(Answer.of(200, Json.object().put("armed", armed.isPresent())));
  }

  private static FaultPlan planOf(JsonNode json) {
    FaultPlan defaults = FaultPlan.always(Fault.parse(json.path("fault").asText()));
    return new FaultPlan(
        defaults.fault(),
        json.path("times").asInt(defaults.times()),
        json.path("probability").asDouble(defaults.probability()),
        json.path("seed").asLong(defaults.seed()),
        Duration.ofMillis(json.path("delayMillis").asLong(defaults.delay().toMillis())));
  }

  /** Handles the calls and the faults of one stand-in; every method runs on the event loop. */
  interface CallHandler {
    void handle(Call call);

    void injectFault(Fault fault);

    void disconnected(Channel channel);

    void writable(Channel channel);
  }

  private final class Pipeline extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      channel
          .pipeline()
          .addLast(new HttpServerCodec())
          .addLast(new HttpServerKeepAliveHandler())
          .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
          .addLast(new Handler());
    }
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    public void channelActive(ChannelHandlerContext context) {
      connections.add(context.channel());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      connections.remove(context.channel());
      callHandler.disconnected(context.channel());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      if (context.channel().isWritable()) {
        callHandler.writable(context.channel());
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      Call call = Call.of(context.channel(), request);
      try {
        handle(call);
      } catch (IllegalArgumentException e) {
        call.send(Answer.of(400, Json.object().put("error", e.getMessage())).notRun());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
