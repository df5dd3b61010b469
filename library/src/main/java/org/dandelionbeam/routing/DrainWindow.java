package org.dandelionbeam.routing;

import java.time.Duration;

/**
 * The period in which a router that shuts down still accepts requests.
 *
 * <p>At first it accepts requests that usually end within the period, since callers may not know
 * yet that it leaves. Later it accepts only those whose timeout ends within the period, as what a
 * request usually takes is no promise and the callers have other routers to go to.
 *
 * @param acceptAllUntilNanos monotonic time until which it accepts all requests
 * @param acceptUsualUntilNanos monotonic time until which it accepts requests that usually end in
 *     time
 * @param endNanos monotonic time at which it gives up the remaining requests
 */
public record DrainWindow(long acceptAllUntilNanos, long acceptUsualUntilNanos, long endNanos) {
  /** Most requests that arrive in the first quarter of the period end before the last quarter. */
  private static final int ACCEPT_ALL_DIVISOR = 4;

  /** Callers that are sent to a leaving router later use addresses that are out of date. */
  private static final Duration ACCEPT_USUAL_TIME = Duration.ofMillis(2_750);

  /** Time in which the response to a request that has timed out still reaches the caller. */
  private static final Duration RESPONSE_MARGIN = Duration.ofMillis(200);

  /**
   * Returns the window of a router that starts to drain.
   *
   * @param nowNanos monotonic time
   * @param limit time after which the remaining requests are given up
   * @return the window
   */
  public static DrainWindow of(long nowNanos, Duration limit) {
    return new DrainWindow(
        nowNanos + limit.dividedBy(ACCEPT_ALL_DIVISOR).toNanos(),
        nowNanos + ACCEPT_USUAL_TIME.toNanos(),
        nowNanos + limit.toNanos());
  }

  /**
   * Tells whether a request that arrives now should be accepted.
   *
   * @param expected typical duration of such a request
   * @param deadlineNanos monotonic time at which the request times out
   * @param nowNanos monotonic time
   * @return true in the first part of the window, then if the request usually ends within it, and
   *     in the last part only if it can't last longer
   */
  public boolean accepts(Duration expected, long deadlineNanos, long nowNanos) {
    return nowNanos - acceptUsualUntilNanos < 0
        ? mayStart(expected, deadlineNanos, nowNanos)
        : endsInTime(deadlineNanos);
  }

  /**
   * Tells whether an accepted request may still be sent to an upstream.
   *
   * @param expected typical duration of such a request
   * @param deadlineNanos monotonic time at which the request times out
   * @param nowNanos monotonic time
   * @return false if it would most likely be cut off
   */
  public boolean mayStart(Duration expected, long deadlineNanos, long nowNanos) {
    return nowNanos - acceptAllUntilNanos < 0
        || endsInTime(deadlineNanos)
        || nowNanos + expected.toNanos() - endNanos < 0;
  }

  private boolean endsInTime(long deadlineNanos) {
    return deadlineNanos + RESPONSE_MARGIN.toNanos() - endNanos <= 0;
  }
}
