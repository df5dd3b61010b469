package org.dandelionbeam.routing;

import java.time.Duration;

/**
 * An amount that decays exponentially.
 *
 * @param amount value at {@code atNanos}
 * @param atNanos monotonic time to which {@code amount} refers
 * @param halfLife time in which the amount decays to half
 */
record DecayingAmount(double amount, long atNanos, Duration halfLife) {

  /** Returns the decayed value at a time. */
  double valueAt(long nowNanos) {
    return amount * Math.pow(0.5, (nowNanos - atNanos) / (double) halfLife.toNanos());
  }

  /** Returns the decayed value at a time, increased by {@code more}. */
  DecayingAmount plus(double more, long nowNanos) {
    return new DecayingAmount(valueAt(nowNanos) + more, nowNanos, halfLife);
  }
}
