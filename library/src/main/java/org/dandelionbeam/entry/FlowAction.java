package org.dandelionbeam.entry;

import java.time.Duration;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.dispatch.DispatchPort.Completion;
import org.dandelionbeam.dispatch.TicketRequest;

/** What the wiring of an entry has to do next for a request. */
public sealed interface FlowAction {

  /**
   * Asks dispatch for an upstream after a pause.
   *
   * @param ticket the wish
   * @param delay time to wait first
   */
  record Submit(TicketRequest ticket, Duration delay) implements FlowAction {}

  /**
   * Withdraws the waiting ticket.
   *
   * @param attempt its attempt
   */
  record Withdraw(int attempt) implements FlowAction {}

  /**
   * Sends the request to an upstream.
   *
   * @param upstream the upstream
   * @param attempt number of the attempt
   */
  record Send(UpstreamId upstream, int attempt) implements FlowAction {}

  /**
   * Takes a broken stream up again at the same upstream.
   *
   * @param upstream the upstream
   * @param attempt number of the attempt whose exchange goes on
   * @param afterOffset last offset that the caller has got
   * @param delay time to wait first
   */
  record Resume(UpstreamId upstream, int attempt, long afterOffset, Duration delay)
      implements FlowAction {}

  /** Gives the answer on to the caller. */
  record Relay() implements FlowAction {}

  /** Ends the exchange with the upstream and cancels the work there. */
  record Abandon() implements FlowAction {}

  /**
   * Gives the slot back.
   *
   * @param completion how the attempt ended
   */
  record Complete(Completion completion) implements FlowAction {}

  /**
   * Answers the caller with an error; the flow is over.
   *
   * @param code the error code
   * @param verdict whether the request may have run
   * @param detail one sentence
   * @param retryAfter when to come back, zero for no advice
   */
  record Fail(ErrorCode code, Verdict verdict, String detail, Duration retryAfter)
      implements FlowAction {}
}
