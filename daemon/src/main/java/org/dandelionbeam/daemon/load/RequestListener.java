package org.dandelionbeam.daemon.load;

/** Receives the progress of requests that are in flight. */
interface RequestListener {
  /** Receives the time from the intended start to the first token. */
  void onFirstToken(InFlightRequest inFlight, long nanos);

  /** Receives the time between two consecutive tokens. */
  void onNextToken(InFlightRequest inFlight, long nanos);

  /** Receives the outcome of a request and the monotonic time of its end. */
  void onEnd(InFlightRequest inFlight, Outcome outcome, long nowNanos);
}
