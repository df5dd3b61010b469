package org.dandelionbeam.routing;

import java.time.Duration;

/**
 * The time in which a router that leaves still takes requests.
 *
 * @param serveAllUntilNanos monotonic time until which it takes all requests
 * @param endNanos monotonic time at which the router ends
 */
public record LeaveWindow(long serveAllUntilNanos, long endNanos) {
  /** Most requests that arrive in the first quarter of the time end before its last. */
  private static final int SERVE_ALL_PART = 4;

  /**
   * Returns the window of a router that starts to leave.
   *
   * @param nowNanos monotonic time
   * @param limit time after which remaining requests are given up
   * @return the window
   */
  public static LeaveWindow of(long nowNanos, Duration limit) {
    long serveAll = limit.dividedBy(SERVE_ALL_PART).toNanos();
    return new LeaveWindow(nowNanos + serveAll, nowNanos + limit.toNanos());
  }

  /**
   * Tells whether a request that arrives now should be taken.
   *
   * @param expected how long it takes mostly
   * @param nowNanos monotonic time
   * @return true early on, later only if it ends before the router does
   */
  public boolean takes(Duration expected, long nowNanos) {
    return nowNanos - serveAllUntilNanos < 0 || nowNanos + expected.toNanos() - endNanos < 0;
  }
}
