package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * What a router knows of the end of one start of an upstream.
 *
 * @param revision revision of the store as of which the start gets no more requests, {@link #FINAL}
 *     if no later entry counts, as the upstream itself has said in a response that it leaves
 * @param age time since the first router has known of it
 */
public record Departure(long revision, Duration age) {
  /** Revision that no entry exceeds. */
  public static final long FINAL = Long.MAX_VALUE;

  /** Checks the age. */
  public Departure {
    requireNonNull(age, "age");
  }

  /**
   * Tells whether the upstream itself has said that it leaves.
   *
   * @return false if its entry in the store drains or was removed, which a later entry may revoke
   */
  public boolean isFinal() {
    return revision == FINAL;
  }
}
