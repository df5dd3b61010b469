package org.dandelionbeam.routing;

import java.time.Duration;

/**
 * An amount of which half is forgotten in each half-life.
 *
 * @param amount what was there at the time below
 * @param atNanos monotonic time of the amount
 * @param halfLife time in which half of it is forgotten
 */
record FadingAmount(double amount, long atNanos, Duration halfLife) {

  /** Returns what is left at a time. */
  double at(long nowNanos) {
    return amount * Math.pow(0.5, (nowNanos - atNanos) / (double) halfLife.toNanos());
  }

  /** Returns what is left at a time and more. */
  FadingAmount plus(double more, long nowNanos) {
    return new FadingAmount(at(nowNanos) + more, nowNanos, halfLife);
  }
}
