package org.dandelionbeam.standins;

import java.util.concurrent.TimeUnit;

/** Token bucket with a capacity of one second's calls; not thread-safe. */
final class RateLimit {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final double callsPerSecond;
  private double tokens;
  private long refilledAtNanos;

  RateLimit(double callsPerSecond, long nowNanos) {
    this.callsPerSecond = callsPerSecond;
    tokens = callsPerSecond;
    refilledAtNanos = nowNanos;
  }

  /** Takes a token and returns true if one is available. */
  boolean tryAcquire(long nowNanos) {
    double earned = (nowNanos - refilledAtNanos) / NANOS_PER_SECOND * callsPerSecond;
    tokens = Math.min(callsPerSecond, tokens + earned);
    refilledAtNanos = nowNanos;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
