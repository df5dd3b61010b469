package org.dandelionbeam.routing;

import java.time.Duration;
import org.dandelionbeam.base.ErrorCode;

/** Decision of the scheduler on a request. */
public sealed interface Decision {
  /** Shortest time after which a refused request may come back. */
  Duration MIN_RETRY_AFTER = Duration.ofMillis(200);

  /**
   * Returns the request.
   *
   * @return ticket of the request that the decision is about
   */
  Ticket ticket();

  /**
   * The request is sent to an upstream now.
   *
   * @param ticket the request
   * @param instance upstream that the request is sent to
   * @param addedLoad load that the request adds to the upstream
   * @param aheadTokens prompt tokens that the engine is known to prefill before this request
   */
  record Granted(Ticket ticket, UpstreamInstance instance, UpstreamLoad addedLoad, long aheadTokens)
      implements Decision {}

  /**
   * The request waits for free slots.
   *
   * @param ticket the request
   */
  record Waiting(Ticket ticket) implements Decision {}

  /**
   * The request is refused and has not run.
   *
   * @param ticket the request
   * @param reason why it is refused
   * @param retryAfter time after which free slots are expected
   */
  record Refused(Ticket ticket, RefusalReason reason, Duration retryAfter) implements Decision {}

  /** Reason for which a request is refused. */
  enum RefusalReason {
    /** The service has no upstream that may get the request. */
    NO_UPSTREAM(ErrorCode.NO_UPSTREAM),
    /** More requests wait than can be served in time. */
    OVERLOADED(ErrorCode.NO_UPSTREAM),
    /** The request found no free slot within its maximum wait. */
    WAITED_TOO_LONG(ErrorCode.NO_UPSTREAM),
    /** Upstreams crash under requests with a part of its prompt. */
    PROMPT_BLAMED(ErrorCode.PROMPT_REFUSED),
    /** Upstreams crash under the same request. */
    REQUEST_BLAMED(ErrorCode.REQUEST_REFUSED);

    private final ErrorCode code;

    RefusalReason(ErrorCode code) {
      this.code = code;
    }

    /**
     * Returns the error code that callers get.
     *
     * @return the code
     */
    public ErrorCode code() {
      return code;
    }
  }
}
