package org.dandelionbeam.membership;

import java.util.List;
import java.util.Optional;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;

/** Membership as other components see it. Its methods are safe on any thread and do not block. */
public interface Ownership {

  /**
   * Returns the id of this node.
   *
   * @return the id
   */
  NodeId self();

  /**
   * Returns the revision of the roster in use.
   *
   * @return the epoch, 0 before the first roster
   */
  long epoch();

  /**
   * Returns the members that are believed alive, including this node.
   *
   * @return an immutable list
   */
  List<NodeId> aliveMembers();

  /**
   * Returns the node that owns an upstream as far as this node knows: its first reachable
   * candidate.
   *
   * @param upstream the upstream
   * @return the owner, empty if no candidate is reachable
   */
  Optional<NodeId> ownerOf(UpstreamId upstream);

  /**
   * Returns the slots that this node may use as the owner.
   *
   * @param upstream the upstream
   * @param nowNanos monotonic time in nanoseconds
   * @return no slots if this node is not the owner or its loans have lapsed
   */
  Slots slots(UpstreamId upstream, long nowNanos);

  /**
   * Tells whether an upstream may get new work: its failure domain is not leaving and the platform
   * does not list its VM as leaving.
   *
   * @param upstream the upstream
   * @return false if the upstream may only finish running work
   */
  boolean acceptsNewWork(UpstreamId upstream);

  /**
   * Returns the share of its window that an upstream may use, which grows by steps while its
   * failure domain returns.
   *
   * @param upstream the upstream
   * @param nowNanos monotonic time in nanoseconds
   * @return from 0 to 1; 1 if the domain is neither leaving nor returning
   */
  double admittedShare(UpstreamId upstream, long nowNanos);

  /**
   * Returns the home of a team: the member that adds up the usage of the team over the fleet.
   *
   * @param team the team
   * @return a member
   */
  NodeId homeOf(TeamId team);

  /**
   * Publishes the window of an owned upstream to its other candidates.
   *
   * @param upstream the upstream
   * @param state the state of its window
   */
  void publishWindow(UpstreamId upstream, WindowState state);

  /**
   * Returns the window that the previous owner of an upstream published last.
   *
   * @param upstream the upstream
   * @return empty if this node knows of none
   */
  Optional<WindowState> inheritedWindow(UpstreamId upstream);
}
