package org.dandelionbeam.config;

import java.util.List;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.peer.PeerMessage;

/**
 * Message that tells the parent in the tree of members which nodes of the sender's subtree do not
 * have its revision.
 *
 * @param revision revision in force at the sender
 * @param behind number of nodes of the subtree without the revision
 * @param names ids of the first few of those nodes
 */
public record RolloutReport(long revision, int behind, List<NodeId> names) implements PeerMessage {

  /** Copies the list. */
  public RolloutReport {
    names = List.copyOf(names);
  }
}
