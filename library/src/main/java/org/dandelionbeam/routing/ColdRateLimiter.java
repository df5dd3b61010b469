package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the requests per second that are sent to each cold upstream.
 *
 * <p>Only the router that schedules an upstream grants requests to it while it is cold, so the
 * limit needs no coordination. Not thread-safe.
 */
public final class ColdRateLimiter {
  /** Slightly longer than the one-second window in which upstreams count requests. */
  private static final Duration WINDOW = Duration.ofMillis(1_100);

  /** Margin for requests that arrive closer together than they were granted. */
  private static final double SAFETY = 0.8;

  private final FleetLimits limits;
  private final Map<InstanceId, SlidingWindowCounter> sent = new HashMap<>();

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
   * Tells whether a request may be sent to a cold upstream now.
   *
   * @param id the upstream
   * @param requestsPerSecond request rate that the cold upstream can serve
   * @param nowNanos monotonic time
   * @return false if this router has used up its part of the rate
   */
  public boolean allows(InstanceId id, double requestsPerSecond, long nowNanos) {
    double fleet = requestsPerSecond * limits.coldOverrun() + limits.coldTolerance();
    return window(id).count(nowNanos) < Math.floor(SAFETY * fleet);
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
    sent.remove(id);
  }

  private SlidingWindowCounter window(InstanceId id) {
    return sent.computeIfAbsent(id, key -> SlidingWindowCounter.of(WINDOW));
  }
}
