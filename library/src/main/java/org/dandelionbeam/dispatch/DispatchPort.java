package org.dandelionbeam.dispatch;

import java.time.Duration;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.UpstreamId;

/**
 * Requests of an entry to the dispatch component of its node; safe on any thread, without blocking.
 *
 * <p>A ticket is identified by request id and attempt. Each {@link #submit} leads to exactly one
 * call of its listener, unless {@link #cancel} is handled first.
 */
public interface DispatchPort {

  /**
   * Asks for an upstream.
   *
   * @param ticket request for an upstream
   * @param listener receives the answer on the dispatch thread
   */
  void submit(TicketRequest ticket, Listener listener);

  /**
   * Withdraws a ticket that has not been answered and removes it from its queue.
   *
   * @param request the caller's request
   * @param attempt number of the attempt
   */
  void cancel(RequestId request, int attempt);

  /**
   * Releases the slot of a granted attempt.
   *
   * @param completion how the attempt ended
   */
  void complete(Completion completion);

  /** Receives the answer to a ticket. */
  interface Listener {

    /**
     * Called when the attempt may be sent to an upstream.
     *
     * @param grant the upstream and how long the grant is valid
     */
    void granted(Grant grant);

    /**
     * Called when the attempt will not be granted; it has not run.
     *
     * @param refusal the reason and the time after which to try again
     */
    void refused(Refusal refusal);
  }

  /**
   * Permission to send one attempt to one upstream.
   *
   * @param request the caller's request
   * @param attempt number of the attempt
   * @param upstream the upstream
   * @param lifetime time from receipt of the grant within which the attempt must be sent
   */
  record Grant(RequestId request, int attempt, UpstreamId upstream, Duration lifetime) {}

  /**
   * Refusal of a ticket.
   *
   * @param code reason as a code
   * @param detail reason as one sentence
   * @param retryAfter time after which the caller may try again
   */
  record Refusal(ErrorCode code, String detail, Duration retryAfter) {}

  /** How an attempt ended on its upstream. */
  enum Outcome {
    /** The upstream answered and the exchange ended. */
    ANSWERED,
    /** The upstream refused the request because it is overloaded or cold. */
    OVERLOADED,
    /** The connection could not be made. */
    UNREACHABLE,
    /** The exchange failed or timed out. */
    BROKEN,
    /** The caller disconnected or the grant was not used. */
    ABANDONED
  }

  /**
   * End of a granted attempt.
   *
   * @param request the caller's request
   * @param attempt number of the attempt
   * @param upstream the upstream
   * @param outcome how it ended
   * @param cost measured cost in the service's unit, 0 if the attempt did no work
   * @param firstByteNanos time to the first byte of the answer, 0 if none came
   * @param elapsedNanos time to the end of the answer
   */
  record Completion(
      RequestId request,
      int attempt,
      UpstreamId upstream,
      Outcome outcome,
      double cost,
      long firstByteNanos,
      long elapsedNanos) {}
}
