package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import org.dandelionbeam.routing.Endpoint;

/**
 * Exchanges messages between routers as UDP datagrams, which may be lost; whoever expects an answer
 * repeats its message. Confined to one event loop.
 */
final class PeerLink {
  /** Longer datagrams would be cut off; all messages are kept well below. */
  private static final int MAX_DATAGRAM_BYTES = 16 << 10;

  /** More than usually fit in the receive buffer of a socket; they are in memory together. */
  private static final int MAX_DATAGRAMS_PER_READ = 512;

  private final EventLoop loop;
  private final EventLog log;
  private final BiConsumer<InetSocketAddress, PeerMessage> receiver;
  private Channel channel;

  PeerLink(EventLoop loop, EventLog log, BiConsumer<InetSocketAddress, PeerMessage> receiver) {
    this.loop = requireNonNull(loop, "loop");
    this.log = requireNonNull(log, "log");
    this.receiver = requireNonNull(receiver, "receiver");
  }

  /** Starts to listen for messages. */
  void bind(Endpoint endpoint) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioDatagramChannel.class)
            .option(ChannelOption.RECVBUF_ALLOCATOR, readAllWaiting())
            .handler(new Receiver());
    channel = bootstrap.bind(endpoint.host(), endpoint.port()).channel();
  }

  /**
   * Reads until no datagram waits. By default the channel would stop at each one that doesn't fill
   * its buffer, and the others would wait for the next pass of the event loop.
   */
  private static RecvByteBufAllocator readAllWaiting() {
    return new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES)
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(MAX_DATAGRAMS_PER_READ);
  }

  static InetSocketAddress addressOf(Endpoint endpoint) {
    return new InetSocketAddress(endpoint.host(), endpoint.port());
  }

  /** Sends a message, which is dropped while the link is not open. */
  void send(InetSocketAddress to, PeerMessage message) {
    if (channel == null || !channel.isActive()) {
      return;
    }
    try {
      byte[] bytes = PeerMessageCodec.encode(message);
      channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to));
    } catch (IOException e) {
      log.line("peer_message_not_sent").with("cause", e).write();
    }
  }

  /** Receives datagrams. */
  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      byte[] bytes = new byte[packet.content().readableBytes()];
      packet.content().readBytes(bytes);
      try {
        receiver.accept(packet.sender(), PeerMessageCodec.decode(bytes));
      } catch (IOException e) {
        log.line("peer_message_unreadable").with("cause", e.getMessage()).write();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      log.line("peer_link_error").with("cause", cause).write();
    }
  }
}
