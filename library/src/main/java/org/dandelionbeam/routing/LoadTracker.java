package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What this router has in flight at each upstream, and what its peers said they have.
 *
 * <p>Upstreams are named by a hash of their key, so that reports stay small. Not thread-safe.
 */
public final class LoadTracker {
  /** A peer that was silent for so many reports is frozen or cut off, and its requests end soon. */
  private static final Duration PEER_REPORT_MAX_AGE = Duration.ofMillis(700);

  private final Map<Integer, UpstreamLoad> localLoads = new HashMap<>();
  private final Set<Integer> changed = new HashSet<>();
  private final Map<RouterName, Report> peers = new HashMap<>();

  private LoadTracker() {}

  /**
   * Returns an empty board.
   *
   * @return the board
   */
  public static LoadTracker create() {
    return new LoadTracker();
  }

  /**
   * Returns the number by which routers name an upstream to each other.
   *
   * @param instance the upstream
   * @return a hash of its id and incarnation
   */
  public static int numberOf(UpstreamInstance instance) {
    return instance.key().hashCode();
  }

  /**
   * Adds own work to an upstream.
   *
   * @param upstream number of the upstream
   * @param work the work
   */
  public void add(int upstream, UpstreamLoad work) {
    localLoads.merge(upstream, work, UpstreamLoad::plus);
    changed.add(upstream);
  }

  /**
   * Takes own work from an upstream.
   *
   * @param upstream number of the upstream
   * @param work the work that is done
   */
  public void subtract(int upstream, UpstreamLoad work) {
    changed.add(upstream);
    UpstreamLoad negative =
        new UpstreamLoad(-work.inFlight(), -work.prefillTokens(), -work.memoryTokens());
    UpstreamLoad left = localLoads.getOrDefault(upstream, UpstreamLoad.NONE).plus(negative);
    if (left.equals(UpstreamLoad.NONE)) {
      localLoads.remove(upstream);
    } else {
      localLoads.put(upstream, left);
    }
  }

  /**
   * Takes the report of a peer.
   *
   * @param peer the peer
   * @param loads its work by upstream
   * @param nowNanos monotonic time
   */
  public void replacePeerLoads(RouterName peer, Map<Integer, UpstreamLoad> loads, long nowNanos) {
    peers.put(requireNonNull(peer, "peer"), new Report(Map.copyOf(loads), nowNanos));
  }

  /**
   * Takes what changed at a peer since its last report.
   *
   * @param peer the peer
   * @param changes its work at the upstreams where it changed
   * @param nowNanos monotonic time
   */
  public void mergePeerLoads(RouterName peer, Map<Integer, UpstreamLoad> changes, long nowNanos) {
    Report known = peers.get(requireNonNull(peer, "peer"));
    Map<Integer, UpstreamLoad> loads = known == null ? new HashMap<>() : new HashMap<>(known.loads);
    loads.putAll(changes);
    peers.put(peer, new Report(Map.copyOf(loads), nowNanos));
  }

  /**
   * Returns the own work that changed since the last call, to report it at once.
   *
   * @return work by upstream, {@link UpstreamLoad#NONE} where nothing is left
   */
  public Map<Integer, UpstreamLoad> drainChanges() {
    Map<Integer, UpstreamLoad> changes = new HashMap<>();
    changed.forEach(
        upstream -> changes.put(upstream, localLoads.getOrDefault(upstream, UpstreamLoad.NONE)));
    changed.clear();
    return changes;
  }

  /**
   * Returns the work of all routers at an upstream.
   *
   * @param upstream number of the upstream
   * @param nowNanos monotonic time
   * @return own work and that of the peers heard lately
   */
  public UpstreamLoad total(int upstream, long nowNanos) {
    UpstreamLoad sum = localLoads.getOrDefault(upstream, UpstreamLoad.NONE);
    for (Report report : peers.values()) {
      if (nowNanos - report.atNanos < PEER_REPORT_MAX_AGE.toNanos()) {
        sum = sum.plus(report.loads.getOrDefault(upstream, UpstreamLoad.NONE));
      }
    }
    return sum;
  }

  /**
   * Returns this router's own work, to report it.
   *
   * @return work by upstream, without idle ones
   */
  public Map<Integer, UpstreamLoad> localLoads() {
    return Map.copyOf(localLoads);
  }

  private record Report(Map<Integer, UpstreamLoad> loads, long atNanos) {}
}
