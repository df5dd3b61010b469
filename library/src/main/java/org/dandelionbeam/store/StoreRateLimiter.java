package org.dandelionbeam.store;

import static java.util.Objects.requireNonNull;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Token bucket that keeps one node's calls to the platform within its part of the fleet's rate.
 *
 * <p>A call beyond the bucket reserves a later token, up to a longest wait; the wait is lengthened
 * by jitter so that nodes which were held up together do not call together.
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
   * Returns a full bucket.
   *
   * @param random source of the jitter
   * @param callsPerSecond calls a second in the long run, above 0
   * @param burst calls that may be made at once after a quiet time, at least 1
   * @param maxWaitNanos longest wait that a call accepts before it is refused
   * @return the bucket
   */
  public static StoreRateLimiter of(
      RandomGenerator random, double callsPerSecond, double burst, long maxWaitNanos) {
    return new StoreRateLimiter(random, callsPerSecond, burst, maxWaitNanos);
  }

  /**
   * Changes the rate, for instance when the fleet grows and each node's part shrinks.
   *
   * @param newCallsPerSecond calls a second in the long run, above 0
   * @param nowNanos monotonic time
   */
  public void changeRate(double newCallsPerSecond, long nowNanos) {
    refill(nowNanos);
    callsPerSecond = newCallsPerSecond;
  }

  /**
   * Takes the token of one call.
   *
   * @param nowNanos monotonic time
   * @return how long the call must wait, 0 for not at all, empty if it must not be made
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
