package org.dandelionbeam.peer.wiring;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.peer.PeerMessage;
import org.dandelionbeam.peer.PeerNetwork;

/**
 * Peer messages over Netty: one authenticated TCP connection to each peer that messages are sent
 * to.
 */
public final class PeerMesh implements PeerNetwork, AutoCloseable {
  static final int MAX_FRAME_BYTES = 2 << 20;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int IDLE_TIMEOUT_SECONDS = 120;

  private final NodeId self;
  private final byte[] fleetKey;
  private final EventLoopGroup group;
  private final LinkFilter filter;
  private final PeerCodec codec = new PeerCodec();
  private final Map<Class<?>, BiConsumer<NodeId, PeerMessage>> receivers =
      new ConcurrentHashMap<>();
  private final Map<NodeId, InetSocketAddress> addresses = new ConcurrentHashMap<>();
  private final Map<NodeId, PeerSession> sessions = new ConcurrentHashMap<>();
  private final Map<NodeId, PeerSession> connecting = new ConcurrentHashMap<>();
  private final Counter sentBytes;
  private final Counter receivedBytes;
  private final Counter sentMessages;
  private final Counter failedConnections;
  private final Counter droppedMessages;
  private Channel listener;

  private PeerMesh(
      NodeId self, byte[] fleetKey, EventLoopGroup group, LinkFilter filter, MeterRegistry meters) {
    this.self = self;
    this.fleetKey = fleetKey.clone();
    this.group = group;
    this.filter = filter;
    sentBytes = meters.counter("dandelionbeam.peer.sent.bytes");
    receivedBytes = meters.counter("dandelionbeam.peer.received.bytes");
    sentMessages = meters.counter("dandelionbeam.peer.sent.messages");
    failedConnections = meters.counter("dandelionbeam.peer.refused");
    droppedMessages = meters.counter("dandelionbeam.peer.dropped");
  }

  /**
   * Creates a mesh that does not listen yet.
   *
   * @param self id of this node
   * @param fleetKey secret that all nodes of the fleet share
   * @param group event loops of its connections
   * @param filter decides which messages are sent and delivered
   * @param meters registry for its counters
   * @return the mesh
   */
  public static PeerMesh of(
      NodeId self, byte[] fleetKey, EventLoopGroup group, LinkFilter filter, MeterRegistry meters) {
    requireNonNull(self, "self");
    requireNonNull(filter, "filter");
    return new PeerMesh(self, fleetKey, group, filter, meters);
  }

  /**
   * Starts to accept connections of peers.
   *
   * @param host IP address to listen on
   * @param port TCP port, 0 for any
   * @return the port that the mesh listens on
   * @throws FleetException with {@code INVALID_SETTING} if the address can't be used
   */
  public int listen(String host, int port) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(serverInitializer());
    ChannelFuture bound = bootstrap.bind(host, port).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new FleetException(
          ErrorCode.INVALID_SETTING, "cannot listen on peer address " + host + ":" + port);
    }
    listener = bound.channel();
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  @Override
  public void send(NodeId to, PeerMessage message) {
    if (!filter.allows(self, to)) {
      return;
    }
    if (to.equals(self)) {
      deliver(self, message);
      return;
    }
    byte[] encoded = codec.encode(message);
    PeerSession session = sessions.get(to);
    if (session == null) {
      session = connecting.computeIfAbsent(to, this::connect);
    }
    if (session == null) {
      countDropped();
      return;
    }
    sentMessages.increment();
    session.send(encoded);
  }

  @Override
  public <M extends PeerMessage> void register(
      int type, Class<M> messageClass, BiConsumer<NodeId, M> receiver) {
    codec.register(type, messageClass);
    receivers.put(
        messageClass, (from, message) -> receiver.accept(from, messageClass.cast(message)));
  }

  @Override
  public void setAddress(NodeId node, String host, int port) {
    addresses.put(node, new InetSocketAddress(host, port));
  }

  /** Closes the listener and all connections. */
  @Override
  public void close() {
    if (listener != null) {
      listener.close().awaitUninterruptibly();
    }
    sessions.values().forEach(PeerSession::close);
    connecting.values().forEach(PeerSession::close);
  }

  /**
   * Returns the number of peers with an open, authenticated connection.
   *
   * @return the count
   */
  public int openConnections() {
    return sessions.size();
  }

  private PeerSession connect(NodeId to) {
    InetSocketAddress address = addresses.get(to);
    if (address == null) {
      return null;
    }
    PeerSession session = new PeerSession(this, true);
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(clientInitializer(session));
    ChannelFuture connected = bootstrap.connect(address);
    session.bindTo(connected.channel());
    connected.channel().closeFuture().addListener(closed -> connecting.remove(to, session));
    return session;
  }

  private ChannelInitializer<SocketChannel> serverInitializer() {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        PeerSession session = new PeerSession(PeerMesh.this, false);
        session.bindTo(channel);
        addHandlers(channel, session);
      }
    };
  }

  private ChannelInitializer<SocketChannel> clientInitializer(PeerSession session) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        addHandlers(channel, session);
      }
    };
  }

  private static void addHandlers(SocketChannel channel, PeerSession session) {
    channel
        .pipeline()
        .addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS))
        .addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, Integer.BYTES, 0, 4))
        .addLast(new LengthFieldPrepender(Integer.BYTES))
        .addLast(session);
  }

  void sessionEstablished(NodeId peer, PeerSession session) {
    sessions.put(peer, session);
    connecting.remove(peer, session);
  }

  void sessionClosed(NodeId peer, PeerSession session) {
    sessions.remove(peer, session);
  }

  void deliver(NodeId from, PeerMessage message) {
    if (!filter.allows(from, self)) {
      return;
    }
    BiConsumer<NodeId, PeerMessage> receiver = receivers.get(message.getClass());
    if (receiver != null) {
      receiver.accept(from, message);
    }
  }

  PeerCodec codec() {
    return codec;
  }

  NodeId self() {
    return self;
  }

  byte[] fleetKey() {
    return fleetKey;
  }

  void countSent(int bytes) {
    sentBytes.increment(bytes);
  }

  void countReceived(int bytes) {
    receivedBytes.increment(bytes);
  }

  void countFailedConnection() {
    failedConnections.increment();
  }

  void countDropped() {
    droppedMessages.increment();
  }
}
