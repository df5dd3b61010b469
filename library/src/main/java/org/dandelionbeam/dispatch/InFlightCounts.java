package org.dandelionbeam.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.dandelionbeam.base.UpstreamId;

/**
 * Number of granted requests that have not ended, by upstream of one owner; safe on any thread.
 *
 * <p>An owner counts a request before its last check that a slot is free. A thread that first
 * withdraws slots and then reads the count therefore sees every request that uses one of them.
 */
public final class InFlightCounts {
  private final Map<UpstreamId, Integer> counts = new ConcurrentHashMap<>();

  /**
   * Returns the count of an upstream.
   *
   * @param upstream the upstream
   * @return number of requests in flight
   */
  public int count(UpstreamId upstream) {
    return counts.getOrDefault(requireNonNull(upstream, "upstream"), 0);
  }

  void started(UpstreamId upstream) {
    counts.merge(upstream, 1, Integer::sum);
  }

  void ended(UpstreamId upstream) {
    counts.computeIfPresent(upstream, (id, count) -> count > 1 ? count - 1 : null);
  }
}
