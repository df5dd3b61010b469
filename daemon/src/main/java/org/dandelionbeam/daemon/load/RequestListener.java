package org.dandelionbeam.daemon.load;

/** Takes what happens to requests under way. */
interface RequestListener {
  /** Takes the time from the intended start to the first token. */
  void onFirstToken(InFlightRequest flight, long nanos);

  /** Takes the time between two tokens. */
  void onNextToken(InFlightRequest flight, long nanos);

  /** Takes the end of a request. */
  void onEnd(InFlightRequest flight, Outcome outcome, long nowNanos);
}
