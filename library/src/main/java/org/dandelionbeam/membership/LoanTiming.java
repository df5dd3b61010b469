package org.dandelionbeam.membership;

import java.time.Duration;

/**
 * Periods and timeouts of loans of slots, in nanoseconds.
 *
 * @param tickNanos time between two ticks of membership
 * @param requestPeriodNanos time between two requests for the same loan
 * @param loanNanos time from the request for a loan to its end
 * @param marginNanos time by which the borrower stops using the slots before the loan ends
 * @param deadlineNanos longest time from a grant to the end of its request
 * @param settleTimeoutNanos time after which warm slots follow the members of a roster that is not
 *     settled
 */
public record LoanTiming(
    long tickNanos,
    long requestPeriodNanos,
    long loanNanos,
    long marginNanos,
    long deadlineNanos,
    long settleTimeoutNanos) {

  /**
   * Returns these times with a request deadline that is at least the given one.
   *
   * @param nanos the shortest deadline that is allowed
   * @return these times if their deadline is not shorter, else a copy with the given deadline
   */
  public LoanTiming withDeadlineOfAtLeast(long nanos) {
    return nanos <= deadlineNanos ? this : withDeadline(nanos);
  }

  /**
   * Returns a copy of these times with another request deadline.
   *
   * @param nanos longest time from a grant to the end of its request
   * @return the times
   */
  public LoanTiming withDeadline(long nanos) {
    return new LoanTiming(
        tickNanos, requestPeriodNanos, loanNanos, marginNanos, nanos, settleTimeoutNanos);
  }

  /**
   * Returns the times for a request deadline.
   *
   * @param requestDeadline longest time from a request to the end of its answer
   * @return the times
   */
  public static LoanTiming of(Duration requestDeadline) {
    return new LoanTiming(
        Duration.ofMillis(250).toNanos(),
        Duration.ofSeconds(1).toNanos(),
        Duration.ofSeconds(2).toNanos(),
        Duration.ofMillis(200).toNanos(),
        requestDeadline.plusSeconds(1).toNanos(),
        Duration.ofSeconds(10).toNanos());
  }
}
