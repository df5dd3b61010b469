package org.dandelionbeam.config;

import static java.util.Objects.requireNonNull;

import org.dandelionbeam.peer.PeerMessage;

/**
 * Tells a peer which configuration the sender has in force.
 *
 * @param revision revision in force at the sender, 0 for none
 * @param seenRevision highest revision that the sender has in force or has refused
 * @param contactAgeMillis time since the platform answered the sender or one that it heard from
 * @param total youngest total that the sender knows
 */
public record ConfigDigest(
    long revision, long seenRevision, int contactAgeMillis, RolloutTotal total)
    implements PeerMessage {

  /** Checks that the total is there. */
  public ConfigDigest {
    requireNonNull(total, "total");
  }
}
