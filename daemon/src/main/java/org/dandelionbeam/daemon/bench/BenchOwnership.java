package org.dandelionbeam.daemon.bench;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.membership.Ownership;
import org.dandelionbeam.membership.Slots;
import org.dandelionbeam.membership.WindowState;

/** Ownership of a benchmark: follows from a topology and never changes; upstreams count from 1. */
record BenchOwnership(Topology topology, int router, int routers, int slots) implements Ownership {

  static NodeId node(int router) {
    return NodeId.of("router-" + router);
  }

  @Override
  public NodeId self() {
    return node(router);
  }

  @Override
  public long epoch() {
    return 1;
  }

  @Override
  public List<NodeId> aliveMembers() {
    return IntStream.range(0, routers).mapToObj(BenchOwnership::node).toList();
  }

  @Override
  public Optional<NodeId> ownerOf(UpstreamId upstream) {
    return Optional.of(node(topology.owner(upstream.number() - 1, router, routers)));
  }

  @Override
  public Slots slots(UpstreamId upstream, long nowNanos) {
    int window = topology.window(slots, routers);
    return new Slots(window, window);
  }

  @Override
  public boolean acceptsNewWork(UpstreamId upstream) {
    return true;
  }

  @Override
  public double admittedShare(UpstreamId upstream, long nowNanos) {
    return 1;
  }

  @Override
  public NodeId homeOf(TeamId team) {
    return node(0);
  }

  @Override
  public void publishWindow(UpstreamId upstream, WindowState state) {
    // Ownership never changes, so no other node inherits the window.
  }

  @Override
  public Optional<WindowState> inheritedWindow(UpstreamId upstream) {
    return Optional.of(new WindowState(false, slots));
  }
}
