package org.dandelionbeam.membership;

import java.time.Duration;

/**
 * Times that loans of slots are bound to, in nanoseconds.
 *
 * @param tickNanos time between two ticks of the duty
 * @param requestPeriodNanos time between two requests for one loan
 * @param loanNanos time after which the lender takes its slots back
 * @param marginNanos how much earlier the borrower stops using them
 * @param deadlineNanos longest time from a grant to the end of its request
 * @param settleTimeoutNanos time after which warm slots follow a roster that is not settled
 */
public record LoanTiming(
    long tickNanos,
    long requestPeriodNanos,
    long loanNanos,
    long marginNanos,
    long deadlineNanos,
    long settleTimeoutNanos) {

  /**
   * Returns these times with a longer request deadline.
   *
   * @param nanos another deadline
   * @return these times if their deadline is not shorter
   */
  public LoanTiming withDeadlineOfAtLeast(long nanos) {
    return nanos <= deadlineNanos ? this : withDeadline(nanos);
  }

  /**
   * Returns these times with another request deadline.
   *
   * @param nanos longest time from a grant to the end of its request
   * @return the times
   */
  public LoanTiming withDeadline(long nanos) {
    return new LoanTiming(
        tickNanos, requestPeriodNanos, loanNanos, marginNanos, nanos, settleTimeoutNanos);
  }

  /**
   * Returns the times that fit a request deadline.
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
