package org.dandelionbeam.routing.wiring;

import java.time.Duration;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.routing.RouteRule;

/** What became of the sends of one request so far, and whether it may be sent again. */
final class Attempts {
  /** Sends of one request that upstreams reject; more would only load them further. */
  private static final int MAX_REJECTIONS = 2;

  /** Upstreams of one request that can't be reached, before it is refused. */
  private static final int MAX_CONNECT_FAILURES = 4;

  /** A retry with less than this part of the objective left would hardly be answered. */
  private static final int MIN_REMAINING_OBJECTIVE_DIVISOR = 4;

  private int runs;
  private int rejections;
  private int connectFailures;
  private Verdict verdict = Verdict.NOT_RUN;

  /** Tells whether nothing was sent yet. */
  boolean isEmpty() {
    return runs + rejections + connectFailures == 0;
  }

  int runs() {
    return runs;
  }

  /** What is known of all sends together. */
  Verdict verdict() {
    return verdict;
  }

  /** Notes a send that ran or may have run. */
  void recordRun(Verdict outcome) {
    runs++;
    verdict = verdict.join(outcome);
  }

  /** Notes a send that the upstream rejected; true if the request may be sent again. */
  boolean recordRejection() {
    rejections++;
    return rejections <= MAX_REJECTIONS;
  }

  /** Notes an upstream that could not be reached; true if the request may go to another one. */
  boolean recordConnectFailure() {
    connectFailures++;
    return connectFailures <= MAX_CONNECT_FAILURES;
  }

  /** Tells whether the route allows one more run in the time that is left. */
  boolean mayRunAgain(RouteRule route, Duration left) {
    return route.isIdempotent()
        && runs < route.maxAttempts()
        && left.compareTo(route.latencyObjective().dividedBy(MIN_REMAINING_OBJECTIVE_DIVISOR)) > 0;
  }
}
