package org.dandelionbeam.entry;

import java.time.Duration;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.dispatch.DispatchPort.Completion;
import org.dandelionbeam.dispatch.TicketRequest;

/** Action that a {@link RequestFlow} asks its caller to perform for a request. */
public sealed interface FlowAction {

  /**
   * Asks dispatch for an upstream after a delay.
   *
   * @param ticket what is requested of dispatch
   * @param delay time to wait first
   */
  record Submit(TicketRequest ticket, Duration delay) implements FlowAction {}

  /**
   * Withdraws a ticket that dispatch has not decided on.
   *
   * @param attempt number of the attempt that the ticket is for
   */
  record Withdraw(int attempt) implements FlowAction {}

  /**
   * Sends the request to an upstream.
   *
   * @param upstream the upstream that dispatch granted
   * @param attempt number of the attempt
   */
  record Send(UpstreamId upstream, int attempt) implements FlowAction {}

  /**
   * Resumes a broken stream at the same upstream.
   *
   * @param upstream the engine that runs the exchange
   * @param attempt number of the attempt whose exchange is resumed
   * @param afterOffset offset of the last event that the caller has received
   * @param delay time to wait first
   */
  record Resume(UpstreamId upstream, int attempt, long afterOffset, Duration delay)
      implements FlowAction {}

  /** Relays the response to the caller. */
  record Relay() implements FlowAction {}

  /** Ends the exchange with the upstream and cancels the work there. */
  record Abandon() implements FlowAction {}

  /**
   * Reports the end of an attempt to dispatch, which frees its slot.
   *
   * @param completion outcome, cost and times of the attempt
   */
  record Complete(Completion completion) implements FlowAction {}

  /**
   * Reports an error to the caller and ends the flow.
   *
   * @param code the error code
   * @param verdict whether the request may have run
   * @param detail cause of the error, as one sentence
   * @param retryAfter delay after which the caller may retry, zero for none
   */
  record Fail(ErrorCode code, Verdict verdict, String detail, Duration retryAfter)
      implements FlowAction {}
}
