package org.dandelionbeam.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.dandelionbeam.base.UpstreamId;

/**
 * Requests that an owner granted and that have not ended, by upstream; safe on any thread.
 *
 * <p>An owner counts a request before it reads its slots for the last time. So whoever takes slots
 * away first and reads the count afterwards sees every request that used them.
 */
public final class InFlightCounts {
  private final Map<UpstreamId, Integer> counts = new ConcurrentHashMap<>();

  /**
   * Returns the count of an upstream.
   *
   * @param upstream the upstream
   * @return 0 or more
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
