package org.dandelionbeam.store;

import static java.util.Objects.requireNonNull;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Token bucket that keeps the calls of this node to the platform's key-value store within its share
 * of the rate limit of the fleet.
 *
 * <p>If the bucket is empty, a call reserves a later token, unless it would have to wait too long.
 * Jitter is added to the wait, so that nodes that were delayed together do not call together.
 */
public final class StoreRateLimiter {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final double JITTER_SHARE = 0.5;

  private final RandomGenerator random;
  private final double burst;
  private final long maxWaitNanos;
  private double callsPerSecond;
  private double tokens;
  private long refilledAtNanos;

  private StoreRateLimiter(
      RandomGenerator random, double callsPerSecond, double burst, long maxWaitNanos) {
    this.random = requireNonNull(random, "random");
    this.callsPerSecond = callsPerSecond;
    this.burst = burst;
    this.maxWaitNanos = maxWaitNanos;
    tokens = burst;
    refilledAtNanos = Long.MIN_VALUE;
  }

  /**
   * Returns a rate limiter with a full bucket.
   *
   * @param random source of the jitter
   * @param callsPerSecond sustained rate in calls per second, above 0
   * @param burst number of calls that may be made at once after an idle time, at least 1
   * @param maxWaitNanos longest wait without jitter; a call that would wait longer is rejected
   * @return the rate limiter
   */
  public static StoreRateLimiter of(
      RandomGenerator random, double callsPerSecond, double burst, long maxWaitNanos) {
    return new StoreRateLimiter(random, callsPerSecond, burst, maxWaitNanos);
  }

  /**
   * Changes the rate, for example when the fleet grows and the share of each node shrinks.
   *
   * @param newCallsPerSecond sustained rate in calls per second, above 0
   * @param nowNanos monotonic time
   */
  public void changeRate(double newCallsPerSecond, long nowNanos) {
    refill(nowNanos);
    callsPerSecond = newCallsPerSecond;
  }

  /**
   * Reserves a token for one call.
   *
   * @param nowNanos monotonic time
   * @return nanoseconds that the call must wait, 0 if it may be made now; empty if it is rejected
   */
  public OptionalLong reserve(long nowNanos) {
    refill(nowNanos);
    double missingTokens = 1 - tokens;
    if (missingTokens <= 0) {
      tokens--;
      return OptionalLong.of(0);
    }
    double waitNanos = missingTokens / callsPerSecond * NANOS_PER_SECOND;
    if (waitNanos > maxWaitNanos) {
      return OptionalLong.empty();
    }
    tokens--;
    double jitter = 1 + JITTER_SHARE * random.nextDouble();
    return OptionalLong.of((long) (waitNanos * jitter));
  }

  private void refill(long nowNanos) {
    if (refilledAtNanos != Long.MIN_VALUE) {
      double addedTokens = (nowNanos - refilledAtNanos) / NANOS_PER_SECOND * callsPerSecond;
      tokens = Math.min(burst, tokens + addedTokens);
    }
    refilledAtNanos = nowNanos;
  }
}
