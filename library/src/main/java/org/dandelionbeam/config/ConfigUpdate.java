package org.dandelionbeam.config;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.dandelionbeam.peer.PeerMessage;

/**
 * Brings a peer to the revision that the sender has in force.
 *
 * @param revision the revision
 * @param fullValue the whole stored value, empty if the steps lead to it; nobody changes it
 * @param deltas deltas in order, the last one to the revision
 */
public record ConfigUpdate(long revision, byte[] fullValue, List<ConfigDelta> deltas)
    implements PeerMessage {

  /** Copies the list and checks that the bytes are there. */
  public ConfigUpdate {
    requireNonNull(fullValue, "fullValue");
    deltas = List.copyOf(deltas);
  }
}
