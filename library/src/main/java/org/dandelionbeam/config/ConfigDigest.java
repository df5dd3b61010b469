package org.dandelionbeam.config;

import static java.util.Objects.requireNonNull;

import org.dandelionbeam.peer.PeerMessage;

/**
 * Message that tells a peer which configuration the sender has in force.
 *
 * @param revision revision in force at the sender, 0 for none
 * @param seenRevision highest revision that the sender has in force or refuses as invalid
 * @param contactAgeMillis milliseconds since the platform store last responded to the sender or to
 *     a node that it heard from
 * @param total most recent rollout total that the sender knows
 */
public record ConfigDigest(
    long revision, long seenRevision, int contactAgeMillis, RolloutTotal total)
    implements PeerMessage {

  /** Requires the total. */
  public ConfigDigest {
    requireNonNull(total, "total");
  }
}
