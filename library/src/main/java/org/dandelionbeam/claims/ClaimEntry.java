package org.dandelionbeam.claims;

import static java.util.Objects.requireNonNull;

/**
 * Claim of a key as it is stored.
 *
 * @param key the key
 * @param token random number that identifies the claim which holds the key
 * @param state what is known about the request that holds the key
 * @param epochSeconds wall clock time of the claim
 * @param status HTTP status of the response to that request, 0 while unknown
 */
public record ClaimEntry(ClaimKey key, long token, State state, long epochSeconds, int status) {

  /** Checks that no component is null. */
  public ClaimEntry {
    requireNonNull(key, "key");
    requireNonNull(state, "state");
  }

  /** What is known about the request that holds a key. */
  public enum State {
    /** It may be running. */
    CLAIMED,
    /** It ran. */
    RAN,
    /** It ended and may have run. */
    MAY_HAVE_RUN
  }

  ClaimEntry withOutcome(State outcome, int responseStatus) {
    return new ClaimEntry(key, token, outcome, epochSeconds, responseStatus);
  }
}
