package org.dandelionbeam.config;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.dandelionbeam.peer.PeerMessage;

/**
 * Message that brings a peer to the revision that the sender has in force.
 *
 * @param revision revision in force at the sender
 * @param fullValue full stored value, empty if the deltas lead to it; must not be modified
 * @param deltas consecutive deltas, the last of which leads to the revision; empty with a full
 *     value
 */
public record ConfigUpdate(long revision, byte[] fullValue, List<ConfigDelta> deltas)
    implements PeerMessage {

  /** Copies the list and requires the value. */
  public ConfigUpdate {
    requireNonNull(fullValue, "fullValue");
    deltas = List.copyOf(deltas);
  }
}
