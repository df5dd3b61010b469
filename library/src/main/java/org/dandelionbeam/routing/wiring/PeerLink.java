package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import org.dandelionbeam.routing.Endpoint;
import org.dandelionbeam.routing.FleetMembers.Member;
import org.dandelionbeam.routing.FleetState;
import org.dandelionbeam.routing.RouterName;
import org.dandelionbeam.routing.UpstreamLoad;

/**
 * Exchanges reports between routers by UDP datagrams, which are not retransmitted, as each report
 * is followed by the next one.
 */
final class PeerLink {
  /** Full reports per report that contains team usage; usage changes little between two reports. */
  private static final int REPORTS_PER_USAGE_REPORT = 2;

  private final RouterContext router;
  private Channel channel;
  private int sequence;

  PeerLink(RouterContext router) {
    this.router = requireNonNull(router, "router");
  }

  /** Starts to listen for reports of peers. */
  void bind(Endpoint endpoint) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(router.loop())
            .channel(NioDatagramChannel.class)
            .handler(new Receiver());
    channel = bootstrap.bind(endpoint.host(), endpoint.port()).channel();
  }

  /** Sends a full report of this router's load to all peers. */
  void sendReport(boolean serving) {
    FleetState fleet = router.fleet();
    long now = router.advanceTime();
    boolean withUsage = sequence % REPORTS_PER_USAGE_REPORT == 0;
    sequence++;
    fleet.loads().drainChanges();
    send(
        new PeerReport(
            fleet.members().self(),
            serving,
            fleet.storeVersions(),
            true,
            fleet.loads().localLoads(),
            fleet.prefixCaches().drainSentPrompts(),
            withUsage ? fleet.usage().localUsage(now) : Map.of()));
  }

  /**
   * Sends the changes since the last report at once, so that peers don't assign requests to the
   * same free slots.
   */
  void sendChanges(boolean serving) {
    FleetState fleet = router.fleet();
    Map<Integer, UpstreamLoad> changes = fleet.loads().drainChanges();
    if (!changes.isEmpty()) {
      send(
          new PeerReport(
              fleet.members().self(),
              serving,
              fleet.storeVersions(),
              false,
              changes,
              fleet.prefixCaches().drainSentPrompts(),
              Map.of()));
    }
  }

  private void send(PeerReport report) {
    if (channel == null || !channel.isActive()) {
      return;
    }
    try {
      byte[] bytes = report.encode();
      for (Member peer : router.fleet().members().peers()) {
        InetSocketAddress address = new InetSocketAddress(peer.peers().host(), peer.peers().port());
        channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), address));
      }
      channel.flush();
    } catch (IOException e) {
      router.log().line("report_failed").with("cause", e).write();
    }
  }

  private void received(byte[] bytes) {
    try {
      PeerReport report = PeerReport.decode(bytes);
      long now = router.advanceTime();
      RouterName name = report.sender().name();
      FleetState fleet = router.fleet();
      fleet.staleStateDetector().recordPeerVersions(report.versions());
      fleet.members().recordReport(report.sender(), report.serving(), now);
      if (report.full()) {
        fleet.loads().replacePeerLoads(name, report.loads(), now);
      } else {
        fleet.loads().mergePeerLoads(name, report.loads(), now);
      }
      report.prompts().forEach(prompt -> fleet.prefixCaches().recordPeerSent(prompt, now));
      if (!report.usage().isEmpty()) {
        fleet.usage().recordPeerUsage(name, report.usage(), now);
      }
    } catch (IOException e) {
      router.log().line("report_unreadable").with("cause", e.getMessage()).write();
    }
  }

  /** Receives datagrams. */
  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      byte[] bytes = new byte[packet.content().readableBytes()];
      packet.content().readBytes(bytes);
      received(bytes);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      router.log().line("peer_link_error").with("cause", cause).write();
    }
  }
}
