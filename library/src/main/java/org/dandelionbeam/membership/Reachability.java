package org.dandelionbeam.membership;

import org.dandelionbeam.base.NodeId;

/** Reachability and eligibility of other nodes. */
public interface Reachability {

  /**
   * Tells whether messages to a node probably arrive.
   *
   * @param node the node
   * @return false if the node is suspected, dead or did not respond lately
   */
  boolean isReachable(NodeId node);

  /**
   * Tells whether a node may own upstreams.
   *
   * @param node the node
   * @return false if the node or its failure domain is leaving
   */
  boolean mayOwn(NodeId node);
}
