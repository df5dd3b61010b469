package org.dandelionbeam.routing;

import java.time.Duration;

/**
 * The time in which a router that leaves still takes requests.
 *
 * @param acceptAllUntilNanos monotonic time until which it takes all requests
 * @param endNanos monotonic time at which the router ends
 */
public record DrainWindow(long acceptAllUntilNanos, long endNanos) {
  /** Most requests that arrive in the first quarter of the time end before its last. */
  private static final int ACCEPT_ALL_DIVISOR = 4;

  /**
   * Returns the window of a router that starts to leave.
   *
   * @param nowNanos monotonic time
   * @param limit time after which remaining requests are given up
   * @return the window
   */
  public static DrainWindow of(long nowNanos, Duration limit) {
    long acceptAllNanos = limit.dividedBy(ACCEPT_ALL_DIVISOR).toNanos();
    return new DrainWindow(nowNanos + acceptAllNanos, nowNanos + limit.toNanos());
  }

  /**
   * Tells whether a request that arrives now should be taken.
   *
   * @param expected how long it takes mostly
   * @param nowNanos monotonic time
   * @return true early on, later only if it ends before the router does
   */
  public boolean accepts(Duration expected, long nowNanos) {
    return nowNanos - acceptAllUntilNanos < 0 || nowNanos + expected.toNanos() - endNanos < 0;
  }
}
