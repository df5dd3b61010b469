package org.dandelionbeam.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the load in flight at the upstreams that this router schedules.
 *
 * <p>Upstreams are identified by {@link UpstreamInstance#number}. Not thread-safe.
 */
public final class LoadTracker {
  private final Map<Integer, UpstreamLoad> loads = new HashMap<>();

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
   * Adds load to an upstream.
   *
   * @param upstream number of the upstream
   * @param load the load
   */
  public void add(int upstream, UpstreamLoad load) {
    loads.merge(upstream, load, UpstreamLoad::plus);
  }

  /**
   * Removes load from an upstream.
   *
   * @param upstream number of the upstream
   * @param load load that has ended
   */
  public void subtract(int upstream, UpstreamLoad load) {
    UpstreamLoad negative =
        new UpstreamLoad(-load.inFlight(), -load.prefillTokens(), -load.memoryTokens());
    UpstreamLoad remaining = load(upstream).plus(negative);
    if (remaining.equals(UpstreamLoad.NONE)) {
      loads.remove(upstream);
    } else {
      loads.put(upstream, remaining);
    }
  }

  /**
   * Returns the load at an upstream.
   *
   * @param upstream number of the upstream
   * @return sum over the requests that this router has granted and that have not ended
   */
  public UpstreamLoad load(int upstream) {
    return loads.getOrDefault(upstream, UpstreamLoad.NONE);
  }

  /**
   * Returns the upstreams with load.
   *
   * @return load by number of the upstream, without idle upstreams
   */
  public Map<Integer, UpstreamLoad> all() {
    return Map.copyOf(loads);
  }
}
