package org.dandelionbeam.config;

import java.util.List;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.peer.PeerMessage;

/**
 * Tells the parent in the tree of members which of the sender's part do not have its revision.
 *
 * @param revision revision in force at the sender
 * @param behind number of members of its part without the revision
 * @param names names of the first few of them
 */
public record RolloutReport(long revision, int behind, List<NodeId> names) implements PeerMessage {

  /** Copies the list. */
  public RolloutReport {
    names = List.copyOf(names);
  }
}
