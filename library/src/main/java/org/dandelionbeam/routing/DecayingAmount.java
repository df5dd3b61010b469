package org.dandelionbeam.routing;

import java.time.Duration;

/**
 * An amount of which half is forgotten in each half-life.
 *
 * @param amount what was there at the time below
 * @param atNanos monotonic time of the amount
 * @param halfLife time in which half of it is forgotten
 */
record DecayingAmount(double amount, long atNanos, Duration halfLife) {

  /** Returns what is left at a time. */
  double valueAt(long nowNanos) {
    return amount * Math.pow(0.5, (nowNanos - atNanos) / (double) halfLife.toNanos());
  }

  /** Returns what is left at a time and more. */
  DecayingAmount plus(double more, long nowNanos) {
    return new DecayingAmount(valueAt(nowNanos) + more, nowNanos, halfLife);
  }
}
