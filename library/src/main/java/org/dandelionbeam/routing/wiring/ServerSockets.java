package org.dandelionbeam.routing.wiring;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;

/** Creates the sockets on which a router listens. */
final class ServerSockets {
  private static final int ACCEPT_BACKLOG = 1_024;

  private ServerSockets() {}

  /**
   * Returns a bootstrap whose channel accepts all waiting connections in a pass of the event loop.
   *
   * <p>If some had to wait for later passes, a busy router would accept those whose callers have
   * given up already.
   */
  static ServerBootstrap bootstrap(EventLoop loop) {
    return new ServerBootstrap()
        .group(loop, loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .option(
            ChannelOption.RECVBUF_ALLOCATOR,
            new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPT_BACKLOG));
  }
}
