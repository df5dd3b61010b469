package org.dandelionbeam.membership;

import static java.util.Objects.requireNonNull;

import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.NodeId;

/**
 * Router node as listed in the roster.
 *
 * @param id id of the node, unique for its address
 * @param host IP address of the node
 * @param peerPort TCP port of its peer listener
 * @param callerPort TCP port of its listener for callers
 * @param domain failure domain of the node
 * @param incarnation number of its process, higher with each start of the node
 * @param leaving whether it takes no new work because it shuts down
 */
public record Member(
    NodeId id,
    String host,
    int peerPort,
    int callerPort,
    FailureDomain domain,
    long incarnation,
    boolean leaving) {

  /** Checks that no reference is null. */
  public Member {
    requireNonNull(id, "id");
    requireNonNull(host, "host");
    requireNonNull(domain, "domain");
  }

  /**
   * Returns this member with its leaving mark set.
   *
   * @return a copy of this member that takes no new work
   */
  public Member asLeaving() {
    return new Member(id, host, peerPort, callerPort, domain, incarnation, true);
  }
}
