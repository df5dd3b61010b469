package org.dandelionbeam.peer.wiring;

import org.dandelionbeam.base.NodeId;

/** Decides which messages between nodes pass; used to simulate network partitions. */
@FunctionalInterface
public interface LinkFilter {

  /**
   * Returns whether messages from one node to another pass.
   *
   * @param from id of the sender
   * @param to id of the receiver
   * @return false if such messages are to be dropped
   */
  boolean allows(NodeId from, NodeId to);
}
