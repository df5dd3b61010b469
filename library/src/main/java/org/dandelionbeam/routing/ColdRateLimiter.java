package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * This router's part of the requests that a cold upstream bears in a second.
 *
 * <p>The routers share the rate evenly and in whole numbers, so that the sum holds without any
 * exchange. Not thread-safe.
 */
public final class ColdRateLimiter {
  /** The window is a little longer than the second in which upstreams count. */
  private static final Duration WINDOW = Duration.ofMillis(1_100);

  /** Leaves room for routers that start while the share is computed. */
  private static final double SAFETY = 0.8;

  private final FleetLimits limits;
  private final Map<InstanceId, SlidingWindowCounter> recordSent = new HashMap<>();

  private ColdRateLimiter(FleetLimits limits) {
    this.limits = requireNonNull(limits, "limits");
  }

  /**
   * Returns a pace without any request.
   *
   * @param limits limits over all routers
   * @return the pace
   */
  public static ColdRateLimiter of(FleetLimits limits) {
    return new ColdRateLimiter(limits);
  }

  /**
   * Tells whether a cold upstream may get a request now.
   *
   * @param id the upstream
   * @param requestsPerSecond rate that it bears
   * @param routers routers that may send to it
   * @param nowNanos monotonic time
   * @return false if this router's part is spent
   */
  public boolean allows(InstanceId id, double requestsPerSecond, int routers, long nowNanos) {
    double fleet = requestsPerSecond * limits.coldOverrun() + limits.coldTolerance();
    int share = (int) (SAFETY * fleet / Math.max(1, routers));
    return window(id).count(nowNanos) < share;
  }

  /**
   * Notes a request to an upstream, cold or not.
   *
   * @param id the upstream
   * @param nowNanos monotonic time
   */
  public void recordSent(InstanceId id, long nowNanos) {
    window(id).add(nowNanos);
  }

  /**
   * Forgets an upstream that left.
   *
   * @param id the upstream
   */
  public void forget(InstanceId id) {
    recordSent.remove(id);
  }

  private SlidingWindowCounter window(InstanceId id) {
    return recordSent.computeIfAbsent(id, key -> SlidingWindowCounter.of(WINDOW));
  }
}
