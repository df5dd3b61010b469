package org.dandelionbeam.daemon.session;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Proxy between a router and one upstream that reports the steps of requests and injects faults.
 */
final class FaultInjectingProxy implements AutoCloseable {
  private final Set<ProxiedConnection> connections = new HashSet<>();
  private final EventLoop loop;
  private final InetSocketAddress target;
  private final Consumer<Step> reached;
  private final Socket portHolder;
  private final int port;
  private Channel listener;
  private volatile Mode mode = Mode.NORMAL;

  FaultInjectingProxy(EventLoop loop, int targetPort, Consumer<Step> reached) throws IOException {
    this.loop = loop;
    this.reached = reached;
    target = new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort);
    portHolder = reservePort();
    port = portHolder.getLocalPort();
    listen();
  }

  int port() {
    return port;
  }

  Mode mode() {
    return mode;
  }

  void mode(Mode next) {
    mode = next;
  }

  /** Closes the listener and resets all connections. */
  void refuse() {
    mode = Mode.REFUSED;
    onLoop(
        () -> {
          listener.close();
          resetConnections();
        });
    awaitNextSelect();
  }

  /** Waits for the event loop's next select, which releases the port of a closed listener. */
  private void awaitNextSelect() {
    if (!loop.inEventLoop()) {
      loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
  }

  /** Resets the open connections, or the next one if none is open. */
  void resetOnce() {
    mode = Mode.RESET_NEXT;
    onLoop(this::resetConnections);
  }

  /** Replaces the next response by that of another request, or appends that to the current one. */
  void crossOnce() {
    mode = Mode.CROSSED_NEXT;
  }

  /** Ends the fault. */
  void heal() {
    boolean closed = mode == Mode.REFUSED;
    mode = Mode.NORMAL;
    if (closed) {
      listen();
    }
  }

  /** Returns the number of connections with an open request. */
  int busyConnections() {
    return loop.submit(() -> (int) connections.stream().filter(ProxiedConnection::isBusy).count())
        .syncUninterruptibly()
        .getNow();
  }

  @Override
  public void close() throws IOException {
    listener.close().syncUninterruptibly();
    loop.submit(this::resetConnections).syncUninterruptibly();
    portHolder.close();
  }

  /** Binds a socket without listening: others cannot take the port, yet connects are refused. */
  private static Socket reservePort() throws IOException {
    Socket bound = new Socket();
    bound.setReuseAddress(true);
    bound.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    return bound;
  }

  void reached(Step step) {
    reached.accept(step);
  }

  void remove(ProxiedConnection connection) {
    connections.remove(connection);
  }

  Bootstrap targetBootstrap() {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .remoteAddress(target);
  }

  private void onLoop(Runnable task) {
    if (loop.inEventLoop()) {
      task.run();
    } else {
      loop.submit(task).syncUninterruptibly();
    }
  }

  private void resetConnections() {
    if (!connections.isEmpty() && mode == Mode.RESET_NEXT) {
      mode = Mode.NORMAL;
    }
    Set.copyOf(connections).forEach(ProxiedConnection::reset);
  }

  private void listen() {
    listener =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(new Initializer())
            .bind(InetAddress.getLoopbackAddress(), port)
            .syncUninterruptibly()
            .channel();
  }

  /** How the proxy treats bytes from now on. */
  enum Mode {
    NORMAL,
    REFUSED,
    RESET_NEXT,
    SILENT,
    SLOW,
    LATE,
    CROSSED_NEXT
  }

  private final class Initializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel router) {
      ProxiedConnection link = new ProxiedConnection(FaultInjectingProxy.this, router);
      connections.add(link);
      router.pipeline().addLast(link.routerHandler());
    }
  }
}
