package org.dandelionbeam.routing;

import java.time.Duration;

/**
 * Spreads requests to an upstream over time according to its rate limit. Not thread-safe.
 *
 * <p>It starts empty: whoever granted requests before may just have used up the limit.
 */
final class TokenBucket {
  /** Time for which an unused rate is saved up. */
  private static final Duration SAVED_TIME = Duration.ofMillis(250);

  private static final double NANOS_PER_SECOND = 1e9;

  private double tokens;
  private long updatedNanos;

  TokenBucket(long nowNanos) {
    updatedNanos = nowNanos;
  }

  private void refill(double perSecond, long nowNanos) {
    double capacity = 1 + perSecond * SAVED_TIME.toNanos() / NANOS_PER_SECOND;
    double added = perSecond * Math.max(0, nowNanos - updatedNanos) / NANOS_PER_SECOND;
    tokens = Math.min(capacity, tokens + added);
    updatedNanos = nowNanos;
  }

  /** Returns the time until a request may be sent, 0 if it may be sent now. */
  long waitNanos(double perSecond, long nowNanos) {
    refill(perSecond, nowNanos);
    return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) * NANOS_PER_SECOND / perSecond);
  }

  /** Records a request that was sent, whether it was allowed or not. */
  void take() {
    tokens -= 1;
  }
}
