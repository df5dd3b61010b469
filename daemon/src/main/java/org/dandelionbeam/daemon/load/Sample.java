package org.dandelionbeam.daemon.load;

import java.util.Locale;

/**
 * Result of one attempt of a request.
 *
 * @param id id of the request; attempts of one request share it
 * @param kind name of its kind in the mix
 * @param address index of the address that it was sent to, from 0
 * @param attempt number of the attempt, from 0
 * @param intendedNanos monotonic time of the intended start of the request
 * @param firstTokenNanos nanoseconds from the intended start to the first token, 0 if none arrived
 * @param endNanos monotonic time of the end of the attempt
 * @param outcome how it ended
 */
public record Sample(
    String id,
    String kind,
    int address,
    int attempt,
    long intendedNanos,
    long firstTokenNanos,
    long endNanos,
    Outcome outcome) {

  /**
   * Returns whether a complete and correct response arrived.
   *
   * @return true if the response was complete and belonged to the request
   */
  public boolean isAnswered() {
    return outcome.type() == Outcome.Type.ANSWERED;
  }

  /**
   * Describes the attempt with its times relative to an event.
   *
   * @param eventNanos monotonic time of the event
   * @return one line
   */
  public String describe(long eventNanos) {
    return String.format(
        Locale.ROOT,
        "%s of %s at address %d, attempt %d, first token after %.3f s, intended %.3f s, ended %.3f"
            + " s after the event: %s %s",
        kind,
        id,
        address,
        attempt,
        firstTokenNanos / 1e9,
        (intendedNanos - eventNanos) / 1e9,
        (endNanos - eventNanos) / 1e9,
        outcome.code(),
        outcome.verdict());
  }
}
