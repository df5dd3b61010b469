package org.dandelionbeam.routing;

import java.time.Duration;

/** What the scheduler decided on a ticket. */
public sealed interface Decision {

  /**
   * Returns the ticket.
   *
   * @return the ticket that the decision is about
   */
  Ticket ticket();

  /**
   * The request goes to an upstream now.
   *
   * @param ticket the ticket
   * @param instance the upstream
   * @param work work that the upstream got by it
   * @param aheadTokens prompt tokens that the engine reads before, as far as is known
   */
  record Granted(Ticket ticket, UpstreamInstance instance, UpstreamLoad work, long aheadTokens)
      implements Decision {}

  /**
   * The request waits for room.
   *
   * @param ticket the ticket
   */
  record Waiting(Ticket ticket) implements Decision {}

  /**
   * The request is refused and has not run.
   *
   * @param ticket the ticket
   * @param reason why
   * @param retryAfter when there will be room
   */
  record Refused(Ticket ticket, RefusalReason reason, Duration retryAfter) implements Decision {}

  /** Why a request is refused. */
  enum RefusalReason {
    /** The service has no upstream that may get requests. */
    NO_UPSTREAM,
    /** More work waits than can be served in time. */
    OVERLOADED,
    /** The request waited as long as it may and got no room. */
    WAITED_TOO_LONG
  }
}
