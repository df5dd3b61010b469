package org.dandelionbeam.routing.wiring;

import java.time.Duration;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.routing.RouteRule;

/** Outcomes of the attempts to send one request, and whether another attempt is allowed. */
final class Attempts {
  /** Rejections after which a request is not sent again; more attempts would only add load. */
  private static final int MAX_REJECTIONS = 2;

  /** Failed connections after which a request is refused. */
  private static final int MAX_CONNECT_FAILURES = 4;

  /** A retry is pointless with less than this fraction of the latency objective (1/4) left. */
  private static final int MIN_REMAINING_OBJECTIVE_DIVISOR = 4;

  private int runs;
  private int rejections;
  private int connectFailures;
  private Verdict verdict = Verdict.NOT_RUN;

  /** Tells whether no attempt has ended yet. */
  boolean isEmpty() {
    return runs + rejections + connectFailures == 0;
  }

  int runs() {
    return runs;
  }

  /** Returns whether the request has run, over all attempts. */
  Verdict verdict() {
    return verdict;
  }

  /** Records an attempt that ran or may have run. */
  void recordRun(Verdict outcome) {
    runs++;
    verdict = verdict.join(outcome);
  }

  /** Records an attempt that the upstream rejected; returns true if another attempt is allowed. */
  boolean recordRejection() {
    rejections++;
    return rejections <= MAX_REJECTIONS;
  }

  /** Records a failed connection to an upstream; returns true if another upstream may be tried. */
  boolean recordConnectFailure() {
    connectFailures++;
    return connectFailures <= MAX_CONNECT_FAILURES;
  }

  /** Tells whether the route allows one more run in the remaining time. */
  boolean mayRunAgain(RouteRule route, Duration remaining) {
    return route.isIdempotent()
        && runs < route.maxAttempts()
        && remaining.compareTo(route.latencyObjective().dividedBy(MIN_REMAINING_OBJECTIVE_DIVISOR))
            > 0;
  }
}
