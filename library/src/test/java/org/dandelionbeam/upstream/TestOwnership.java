package org.dandelionbeam.upstream;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.membership.Ownership;
import org.dandelionbeam.membership.Slots;
import org.dandelionbeam.membership.WindowState;

/** Ownership that a test sets; it counts how often an owner is looked up. */
public final class TestOwnership implements Ownership {
  public final Set<UpstreamId> owned = ConcurrentHashMap.newKeySet();
  public final Set<UpstreamId> leaving = ConcurrentHashMap.newKeySet();
  public volatile long epoch = 1;
  public volatile int ownerLookups;

  @Override
  public NodeId self() {
    return NodeId.of("self");
  }

  @Override
  public long epoch() {
    return epoch;
  }

  @Override
  public List<NodeId> aliveMembers() {
    return List.of(self(), NodeId.of("other"));
  }

  @Override
  public Optional<NodeId> ownerOf(UpstreamId upstream) {
    ownerLookups++;
    return Optional.of(owned.contains(upstream) ? self() : NodeId.of("other"));
  }

  @Override
  public Slots slots(UpstreamId upstream, long nowNanos) {
    throw new UnsupportedOperationException();
  }

  @Override
  public boolean acceptsNewWork(UpstreamId upstream) {
    return !leaving.contains(upstream);
  }

  @Override
  public double admittedShare(UpstreamId upstream, long nowNanos) {
    return 1;
  }

  @Override
  public NodeId homeOf(TeamId team) {
    return self();
  }

  @Override
  public void publishWindow(UpstreamId upstream, WindowState state) {}

  @Override
  public Optional<WindowState> inheritedWindow(UpstreamId upstream) {
    return Optional.empty();
  }
}
