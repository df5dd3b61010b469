package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Limits the requests per second that are sent to an upstream that is cold or has named a limit.
 *
 * <p>Only the router that schedules an upstream grants requests to it meanwhile, so the limits need
 * no coordination. Not thread-safe.
 */
public final class UpstreamRateLimiter {
  /** Slightly longer than the one-second window in which upstreams count requests while cold. */
  private static final Duration COLD_WINDOW = Duration.ofMillis(1_100);

  /** Margin for requests that arrive closer together than they were granted. */
  private static final double COLD_SAFETY = 0.8;

  private final FleetLimits limits;
  private final Map<InstanceId, SlidingWindowCounter> sent = new HashMap<>();
  private final Map<InstanceId, TokenBucket> buckets = new HashMap<>();

  private UpstreamRateLimiter(FleetLimits limits) {
    this.limits = requireNonNull(limits, "limits");
  }

  /**
   * Creates a limiter without recorded requests.
   *
   * @param limits limits for all routers together
   * @return the limiter
   */
  public static UpstreamRateLimiter of(FleetLimits limits) {
    return new UpstreamRateLimiter(limits);
  }

  /**
   * Tells whether a request may be sent to a cold upstream now.
   *
   * @param id the upstream
   * @param requestsPerSecond request rate that the cold upstream can serve
   * @param nowNanos monotonic time
   * @return false if the rate is used up
   */
  public boolean allowsWhileCold(InstanceId id, double requestsPerSecond, long nowNanos) {
    double fleet = requestsPerSecond * limits.coldOverrun() + limits.coldTolerance();
    return window(id).count(nowNanos) < Math.floor(COLD_SAFETY * fleet);
  }

  /**
   * Returns the time until a request may be sent to an upstream that has named a limit.
   *
   * @param id the upstream
   * @param limit the limit
   * @param nowNanos monotonic time
   * @return the time, zero if a request may be sent now
   */
  public Duration waitFor(InstanceId id, RateLimit limit, long nowNanos) {
    if (limit.isNone()) {
      buckets.remove(id);
      return Duration.ZERO;
    }
    TokenBucket bucket = buckets.computeIfAbsent(id, key -> new TokenBucket(nowNanos));
    return Duration.ofNanos(bucket.waitNanos(limit.usedPerSecond(), nowNanos));
  }

  /**
   * Records a request that was sent to an upstream, limited or not.
   *
   * @param id the upstream
   * @param nowNanos monotonic time
   */
  public void recordSent(InstanceId id, long nowNanos) {
    window(id).add(nowNanos);
    TokenBucket bucket = buckets.get(id);
    if (bucket != null) {
      bucket.take();
    }
  }

  /**
   * Removes the counts of an upstream that is gone.
   *
   * @param id the upstream
   */
  public void forget(InstanceId id) {
    sent.remove(id);
    buckets.remove(id);
  }

  private SlidingWindowCounter window(InstanceId id) {
    return sent.computeIfAbsent(id, key -> SlidingWindowCounter.of(COLD_WINDOW));
  }
}
