package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the requests per second that this router sends to each cold upstream.
 *
 * <p>Each router takes an even share of the rate, rounded down, so that the routers together keep
 * the limit without coordination. Not thread-safe.
 */
public final class ColdRateLimiter {
  /** Slightly longer than the one-second window in which upstreams count requests. */
  private static final Duration WINDOW = Duration.ofMillis(1_100);

  /** Margin for routers that start after the number of routers was determined. */
  private static final double SAFETY = 0.8;

  private final FleetLimits limits;
  private final Map<InstanceId, SlidingWindowCounter> recordSent = new HashMap<>();

  private ColdRateLimiter(FleetLimits limits) {
    this.limits = requireNonNull(limits, "limits");
  }

  /**
   * Creates a limiter without recorded requests.
   *
   * @param limits limits for all routers together
   * @return the limiter
   */
  public static ColdRateLimiter of(FleetLimits limits) {
    return new ColdRateLimiter(limits);
  }

  /**
   * Tells whether this router may send a request to a cold upstream now.
   *
   * @param id the upstream
   * @param requestsPerSecond request rate that the cold upstream can serve
   * @param routers number of routers that share the rate
   * @param nowNanos monotonic time
   * @return false if this router has used up its share
   */
  public boolean allows(InstanceId id, double requestsPerSecond, int routers, long nowNanos) {
    double fleet = requestsPerSecond * limits.coldOverrun() + limits.coldTolerance();
    int share = (int) (SAFETY * fleet / Math.max(1, routers));
    return window(id).count(nowNanos) < share;
  }

  /**
   * Records a request that was sent to an upstream, cold or not.
   *
   * @param id the upstream
   * @param nowNanos monotonic time
   */
  public void recordSent(InstanceId id, long nowNanos) {
    window(id).add(nowNanos);
  }

  /**
   * Removes the counts of an upstream that is gone.
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
