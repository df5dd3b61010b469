package org.dandelionbeam.claims;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/** Result of the claim of a key. */
public sealed interface ClaimResult {

  /** The request holds the key and may run. */
  record Claimed() implements ClaimResult {}

  /**
   * Another request holds the key.
   *
   * @param outcome outcome of that request, empty while none is recorded
   */
  record AlreadyClaimed(Optional<Outcome> outcome) implements ClaimResult {

    /** Checks that the outcome is not null. */
    public AlreadyClaimed {
      requireNonNull(outcome, "outcome");
    }
  }

  /**
   * The claim could not be written in time; the request must not run.
   *
   * @param detail reason, for the error message
   */
  record Unavailable(String detail) implements ClaimResult {}

  /**
   * Recorded outcome of the request that holds the key.
   *
   * @param ran true if the request ran, false if it may have run
   * @param status HTTP status of the response to its caller, 0 if none
   */
  record Outcome(boolean ran, int status) {}
}
