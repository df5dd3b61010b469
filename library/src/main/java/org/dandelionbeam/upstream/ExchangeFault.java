package org.dandelionbeam.upstream;

import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.Verdict;

/** Ways in which an exchange with an upstream can fail before its response is complete. */
public enum ExchangeFault {
  /** The connection could not be established, so nothing was sent. */
  CONNECT_FAILED(Verdict.NOT_RUN, ErrorCode.UPSTREAM_FAILED),
  /** The upstream proved that it did not start the request. */
  REFUSED(Verdict.NOT_RUN, ErrorCode.NO_UPSTREAM),
  /** The connection broke after the request may have been sent. */
  CONNECTION_LOST(Verdict.MAY_HAVE_RUN, ErrorCode.UPSTREAM_FAILED),
  /** The response, or a further part of it, did not arrive in time. */
  TIMED_OUT(Verdict.MAY_HAVE_RUN, ErrorCode.UPSTREAM_TIMEOUT),
  /** The response was not well-formed. */
  MALFORMED(Verdict.MAY_HAVE_RUN, ErrorCode.UPSTREAM_FAILED),
  /** The response named another request. */
  MISMATCHED(Verdict.MAY_HAVE_RUN, ErrorCode.UPSTREAM_MISMATCH),
  /** The upstream answered with a gateway status that leaves the outcome open. */
  GATEWAY_STATUS(Verdict.MAY_HAVE_RUN, ErrorCode.UPSTREAM_FAILED);

  private final Verdict verdict;
  private final ErrorCode code;

  ExchangeFault(Verdict verdict, ErrorCode code) {
    this.verdict = verdict;
    this.code = code;
  }

  /**
   * Returns whether the request may have run when an attempt fails in this way.
   *
   * @return the verdict of the attempt
   */
  public Verdict verdict() {
    return verdict;
  }

  /**
   * Returns the error code that the caller gets if no further attempt is made.
   *
   * @return the code
   */
  public ErrorCode code() {
    return code;
  }
}
