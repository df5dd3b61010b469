package org.dandelionbeam.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.Upstream;

/**
 * Immutable state of the fleet as a node knows it at one time; safe on any thread.
 *
 * @param roster the roster in use
 * @param assignments assignments by that roster
 * @param configuration the configuration in use
 * @param alive members believed alive, including this node
 * @param unreachable members that are not reachable
 * @param leaving members that are leaving, or whose VM or failure domain is leaving
 * @param roles this node's roles in the upstreams that it is a candidate for
 * @param marks operators' marks of failure domains
 * @param shares admitted shares of failure domains
 * @param vms the platform's states of VMs by host
 */
public record MembershipView(
    Roster roster,
    Assignments assignments,
    Configuration configuration,
    List<NodeId> alive,
    Set<NodeId> unreachable,
    Set<NodeId> leaving,
    Map<UpstreamId, Role> roles,
    List<DomainMark> marks,
    DomainMarks.Shares shares,
    Map<String, VmState> vms) {

  /**
   * Returns the owner of an upstream.
   *
   * @param upstream the upstream
   * @return the owner as this node's role tells it, else the first candidate in service; empty if
   *     there is none
   */
  public Optional<NodeId> ownerOf(UpstreamId upstream) {
    Role role = roles.get(upstream);
    if (role != null && role.owner().isPresent()) {
      return role.owner();
    }
    return assignments.candidates(upstream).stream().filter(this::isInService).findFirst();
  }

  /**
   * Returns the slots of this node.
   *
   * @param upstream the upstream
   * @param nowNanos monotonic time in nanoseconds
   * @return no slots if this node is not the owner
   */
  public Slots slots(UpstreamId upstream, long nowNanos) {
    Role role = roles.get(upstream);
    return role == null ? Slots.none() : role.usableSlots().totalAt(nowNanos);
  }

  /**
   * Tells whether an upstream may get new work. The mark of its failure domain and the platform's
   * list of VMs each suffice to stop it.
   *
   * @param upstream the upstream
   * @return false for an unknown upstream
   */
  public boolean acceptsNewWork(UpstreamId upstream) {
    return configuration.upstream(upstream).filter(this::acceptsNewWork).isPresent();
  }

  private boolean acceptsNewWork(Upstream upstream) {
    boolean isVmInService = vms.getOrDefault(upstream.host(), VmState.LIVE).acceptsNewWork();
    return isVmInService && !shares.isLeaving(upstream.domain());
  }

  /**
   * Returns the share of its window that an upstream may use.
   *
   * @param upstream the upstream
   * @param nowNanos monotonic time in nanoseconds
   * @return from 0 to 1
   */
  public double admittedShare(UpstreamId upstream, long nowNanos) {
    return configuration
        .upstream(upstream)
        .map(known -> shares.shareOf(known.domain(), nowNanos))
        .orElse(1.0);
  }

  /**
   * Returns the home of a team, which adds up the usage of the team over the fleet.
   *
   * @param team the team
   * @return the first reachable member by rank, else the first member; empty without a roster
   */
  public Optional<NodeId> homeOf(TeamId team) {
    List<NodeId> homes = assignments.homes(team);
    return homes.stream()
        .filter(node -> !unreachable.contains(node))
        .findFirst()
        .or(() -> homes.stream().findFirst());
  }

  /**
   * Returns the members that callers may use.
   *
   * @return reachable members that are not leaving, and whose VM is not listed as leaving
   */
  public List<Member> usableMembers() {
    return roster.members().stream()
        .filter(member -> isInService(member.id()))
        .filter(member -> vms.getOrDefault(member.host(), VmState.LIVE).acceptsNewWork())
        .toList();
  }

  private boolean isInService(NodeId node) {
    return !unreachable.contains(node) && !leaving.contains(node);
  }

  /**
   * Role of this node in one upstream.
   *
   * @param owner the owner as far as this node knows
   * @param usableSlots slots that this node may use
   * @param window the window that an owner published last
   */
  public record Role(
      Optional<NodeId> owner, UsableSlots usableSlots, Optional<WindowState> window) {

    /**
     * Tells whether this node is the owner.
     *
     * @return true if it may use own or borrowed slots
     */
    public boolean isOwned() {
      return usableSlots.own().warm() > 0 || !usableSlots.loans().isEmpty();
    }
  }
}
