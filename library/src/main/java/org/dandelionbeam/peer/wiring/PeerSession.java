package org.dandelionbeam.peer.wiring;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.security.MessageDigest;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.peer.PeerMessage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection to a peer: mutual challenge-response authentication with the fleet key, then
 * batches of messages with authentication tags.
 *
 * <p>The client sends its nonce, the server replies with its own nonce and a proof, and the client
 * sends its proof. Messages sent within one batch delay share a frame.
 */
final class PeerSession extends SimpleChannelInboundHandler<ByteBuf> {
  private static final Logger LOG = LoggerFactory.getLogger(PeerSession.class);
  private static final int MAX_PENDING_BYTES = 4 << 20;
  private static final int MAX_BATCH_BYTES =
      PeerMesh.MAX_FRAME_BYTES - Integer.BYTES - FrameAuthenticator.TAG_BYTES;
  private static final long BATCH_DELAY_MILLIS = 1;
  private static final long HANDSHAKE_TIMEOUT_MILLIS = 3_000;

  private final PeerMesh mesh;
  private final boolean client;
  private final byte[] nonce = PeerHello.newNonce();
  private final Queue<byte[]> pending = new ArrayDeque<>();
  private int pendingBytes;
  private Channel channel;
  private ChannelHandlerContext context;
  private byte[] peerNonce;
  private NodeId peer;
  private FrameAuthenticator outbound;
  private FrameAuthenticator inbound;
  private boolean established;
  private boolean flushScheduled;

  PeerSession(PeerMesh mesh, boolean client) {
    this.mesh = mesh;
    this.client = client;
  }

  void bindTo(Channel boundChannel) {
    channel = boundChannel;
  }

  /** Queues an encoded message; it is lost if the connection closes before it is sent. */
  void send(byte[] message) {
    if (channel.eventLoop().inEventLoop()) {
      enqueue(message);
    } else {
      channel.eventLoop().execute(() -> enqueue(message));
    }
  }

  private void enqueue(byte[] message) {
    if (message.length > MAX_BATCH_BYTES || pendingBytes + message.length > MAX_PENDING_BYTES) {
      mesh.countDropped();
      return;
    }
    pending.add(message);
    pendingBytes += message.length;
    if (established && !flushScheduled) {
      flushScheduled = true;
      context.executor().schedule(this::flushBatch, BATCH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    context = ctx;
    if (client) {
      writeHello(new byte[PeerHello.PROOF_BYTES]);
    }
    ctx.executor()
        .schedule(this::closeUnlessEstablished, HANDSHAKE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
    if (established) {
      readBatch(ByteBufUtil.getBytes(frame));
    } else {
      readHello(PeerHello.decode(frame));
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (peer != null) {
      mesh.sessionClosed(peer, this);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof IdleStateEvent) {
      ctx.close();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    LOG.debug("peer connection {} failed: {}", ctx.channel().remoteAddress(), cause.toString());
    mesh.countFailedConnection();
    ctx.close();
  }

  private void closeUnlessEstablished() {
    if (!established) {
      context.close();
    }
  }

  private void readHello(PeerHello hello) {
    boolean first = peerNonce == null;
    if (first) {
      peerNonce = hello.nonce();
      peer = hello.node();
    }
    if (!client && first) {
      writeHello(ownProof());
      return;
    }
    byte[] expected = proofOf(client ? "server" : "client", hello.node());
    if (!hello.node().equals(peer) || !MessageDigest.isEqual(expected, hello.proof())) {
      throw new IllegalArgumentException("the proof or the node id of the peer is wrong");
    }
    if (client) {
      writeHello(ownProof());
    }
    establish();
  }

  private void establish() {
    outbound = authenticator(client ? "up" : "down");
    inbound = authenticator(client ? "down" : "up");
    established = true;
    mesh.sessionEstablished(peer, this);
    flushBatch();
  }

  private FrameAuthenticator authenticator(String direction) {
    return FrameAuthenticator.of(mesh.fleetKey(), direction, clientNonce(), serverNonce());
  }

  private byte[] clientNonce() {
    return client ? nonce : peerNonce;
  }

  private byte[] serverNonce() {
    return client ? peerNonce : nonce;
  }

  private byte[] ownProof() {
    return proofOf(client ? "client" : "server", mesh.self());
  }

  private byte[] proofOf(String role, NodeId node) {
    String purpose = role + " " + node.name();
    return FrameAuthenticator.proof(mesh.fleetKey(), purpose, clientNonce(), serverNonce());
  }

  private void writeHello(byte[] proof) {
    context.writeAndFlush(new PeerHello(nonce, proof, mesh.self()).encode());
  }

  private void flushBatch() {
    flushScheduled = false;
    while (!pending.isEmpty() && context.channel().isActive()) {
      writeFrame(nextBatch());
    }
  }

  /** Removes as many pending messages as fit into one frame. */
  private byte[] nextBatch() {
    ByteArrayOutputStream batch = new ByteArrayOutputStream();
    while (!pending.isEmpty() && batch.size() + pending.peek().length <= MAX_BATCH_BYTES) {
      batch.writeBytes(pending.remove());
    }
    pendingBytes -= batch.size();
    return batch.toByteArray();
  }

  private void writeFrame(byte[] batch) {
    byte[] tag = outbound.tag(batch, batch.length);
    mesh.countSent(batch.length + tag.length + Integer.BYTES);
    context.writeAndFlush(Unpooled.wrappedBuffer(batch, tag));
  }

  private void readBatch(byte[] taggedFrame) {
    mesh.countReceived(taggedFrame.length + Integer.BYTES);
    if (!inbound.verify(taggedFrame)) {
      throw new IllegalArgumentException("the authentication tag of a frame is wrong");
    }
    try {
      List<PeerMessage> batch =
          mesh.codec().decode(taggedFrame, 0, taggedFrame.length - FrameAuthenticator.TAG_BYTES);
      batch.forEach(message -> mesh.deliver(peer, message));
    } catch (IOException e) {
      throw new IllegalArgumentException("malformed batch from " + peer, e);
    }
  }

  @Override
  public String toString() {
    return (client ? "to " : "from ") + peer;
  }

  void close() {
    channel.close();
  }
}
