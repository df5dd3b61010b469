package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the load that this router and its peers have in flight at each upstream.
 *
 * <p>Upstreams are identified by a hash of their key, called their number, which keeps reports
 * small. Not thread-safe.
 */
public final class LoadTracker {
  /**
   * A peer that has sent no report for this time is frozen or cut off, and its requests end soon.
   */
  private static final Duration PEER_REPORT_MAX_AGE = Duration.ofMillis(700);

  private final Map<Integer, UpstreamLoad> localLoads = new HashMap<>();
  private final Set<Integer> changed = new HashSet<>();
  private final Map<RouterName, Report> peers = new HashMap<>();

  private LoadTracker() {}

  /**
   * Creates a tracker without load.
   *
   * @return the tracker
   */
  public static LoadTracker create() {
    return new LoadTracker();
  }

  /**
   * Returns the number by which routers identify an upstream in reports.
   *
   * @param instance the upstream
   * @return hash of its id and incarnation
   */
  public static int numberOf(UpstreamInstance instance) {
    return instance.key().hashCode();
  }

  /**
   * Adds load of this router to an upstream.
   *
   * @param upstream number of the upstream
   * @param load the work
   */
  public void add(int upstream, UpstreamLoad load) {
    localLoads.merge(upstream, load, UpstreamLoad::plus);
    changed.add(upstream);
  }

  /**
   * Removes load of this router from an upstream.
   *
   * @param upstream number of the upstream
   * @param load load that has ended
   */
  public void subtract(int upstream, UpstreamLoad load) {
    changed.add(upstream);
    UpstreamLoad negative =
        new UpstreamLoad(-load.inFlight(), -load.prefillTokens(), -load.memoryTokens());
    UpstreamLoad remaining = localLoads.getOrDefault(upstream, UpstreamLoad.NONE).plus(negative);
    if (remaining.equals(UpstreamLoad.NONE)) {
      localLoads.remove(upstream);
    } else {
      localLoads.put(upstream, remaining);
    }
  }

  /**
   * Replaces the load of a peer by a full report.
   *
   * @param peer name of the peer
   * @param loads its load by number of the upstream
   * @param nowNanos monotonic time
   */
  public void replacePeerLoads(RouterName peer, Map<Integer, UpstreamLoad> loads, long nowNanos) {
    peers.put(requireNonNull(peer, "peer"), new Report(Map.copyOf(loads), nowNanos));
  }

  /**
   * Applies the changes of a peer's load since its last report.
   *
   * @param peer name of the peer
   * @param changes its new load by number of the upstream
   * @param nowNanos monotonic time
   */
  public void mergePeerLoads(RouterName peer, Map<Integer, UpstreamLoad> changes, long nowNanos) {
    Report known = peers.get(requireNonNull(peer, "peer"));
    Map<Integer, UpstreamLoad> loads = known == null ? new HashMap<>() : new HashMap<>(known.loads);
    loads.putAll(changes);
    peers.put(peer, new Report(Map.copyOf(loads), nowNanos));
  }

  /**
   * Returns the load of this router at the upstreams where it changed since the last call, and
   * clears the list of changes.
   *
   * @return load by number of the upstream, {@link UpstreamLoad#NONE} where nothing is left
   */
  public Map<Integer, UpstreamLoad> drainChanges() {
    Map<Integer, UpstreamLoad> changes = new HashMap<>();
    changed.forEach(
        upstream -> changes.put(upstream, localLoads.getOrDefault(upstream, UpstreamLoad.NONE)));
    changed.clear();
    return changes;
  }

  /**
   * Returns the load of all routers at an upstream.
   *
   * @param upstream number of the upstream
   * @param nowNanos monotonic time
   * @return sum over this router and the peers that reported lately
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
   * Returns the load of this router.
   *
   * @return load by number of the upstream, without idle upstreams
   */
  public Map<Integer, UpstreamLoad> localLoads() {
    return Map.copyOf(localLoads);
  }

  private record Report(Map<Integer, UpstreamLoad> loads, long atNanos) {}
}
