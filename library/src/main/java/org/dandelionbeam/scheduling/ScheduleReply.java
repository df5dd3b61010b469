package org.dandelionbeam.scheduling;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.dandelionbeam.routing.Decision;
import org.dandelionbeam.routing.UpstreamLoad;

/** Message of a scheduler to the router of a caller. */
public sealed interface ScheduleReply {

  /**
   * Returns the submission.
   *
   * @return its number
   */
  long id();

  /**
   * The request may be sent to an upstream.
   *
   * @param id number of the submission
   * @param upstream number of the upstream
   * @param load load that the request adds to the upstream
   * @param aheadTokens prompt tokens that the engine is known to prefill before this request
   */
  record Granted(long id, int upstream, UpstreamLoad load, long aheadTokens)
      implements ScheduleReply {
    /** Checks the values. */
    public Granted {
      requireNonNull(load, "load");
    }
  }

  /**
   * The request waits for an upstream.
   *
   * @param id number of the submission
   */
  record Queued(long id) implements ScheduleReply {}

  /**
   * The request is refused.
   *
   * @param id number of the submission
   * @param reason why it is refused
   * @param retryAfter time after which free slots are expected
   */
  record Refused(long id, Decision.RefusalReason reason, Duration retryAfter)
      implements ScheduleReply {}

  /**
   * The scheduler doesn't know the submission, which has to be submitted again.
   *
   * @param id number of the submission
   */
  record Unknown(long id) implements ScheduleReply {}
}
