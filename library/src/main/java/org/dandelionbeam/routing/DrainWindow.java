package org.dandelionbeam.routing;

import java.time.Duration;

/**
 * The period in which a router that shuts down still accepts requests.
 *
 * @param acceptAllUntilNanos monotonic time until which it accepts all requests
 * @param endNanos monotonic time at which it gives up the remaining requests
 */
public record DrainWindow(long acceptAllUntilNanos, long endNanos) {
  /** Most requests that arrive in the first quarter of the period end before the last quarter. */
  private static final int ACCEPT_ALL_DIVISOR = 4;

  /**
   * Returns the window of a router that starts to drain.
   *
   * @param nowNanos monotonic time
   * @param limit time after which the remaining requests are given up
   * @return the window
   */
  public static DrainWindow of(long nowNanos, Duration limit) {
    long acceptAllNanos = limit.dividedBy(ACCEPT_ALL_DIVISOR).toNanos();
    return new DrainWindow(nowNanos + acceptAllNanos, nowNanos + limit.toNanos());
  }

  /**
   * Tells whether a request that arrives now should be accepted.
   *
   * @param expected typical duration of such a request
   * @param nowNanos monotonic time
   * @return true in the first part of the window, later only if the request should end within it
   */
  public boolean accepts(Duration expected, long nowNanos) {
    return nowNanos - acceptAllUntilNanos < 0 || nowNanos + expected.toNanos() - endNanos < 0;
  }
}
