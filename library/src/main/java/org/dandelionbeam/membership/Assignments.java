package org.dandelionbeam.membership;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Upstream;

/**
 * Division of upstreams' slots among their candidates, and homes of teams; a pure function of a
 * roster, safe on any thread.
 */
public final class Assignments {
  /** Most candidates of an upstream. */
  public static final int MAX_CANDIDATES = 8;

  private static final int MAX_HOMES = 4;

  private final Rendezvous memberHashing;
  private final Rendezvous basisHashing;
  private final boolean settled;
  private final Map<UpstreamId, List<NodeId>> candidates = new ConcurrentHashMap<>();
  private final Map<TeamId, List<NodeId>> homes = new ConcurrentHashMap<>();

  private Assignments(Roster roster) {
    memberHashing = Rendezvous.of(roster.members());
    settled = roster.isSettled();
    basisHashing = settled ? memberHashing : Rendezvous.of(roster.basis());
  }

  /**
   * Returns the division by a roster.
   *
   * @param roster the roster
   * @return the division, which computes and keeps what it is asked for
   */
  public static Assignments of(Roster roster) {
    return new Assignments(roster);
  }

  /**
   * Returns the candidates of an upstream.
   *
   * @param upstream the upstream
   * @return members in order of rank
   */
  public List<NodeId> candidates(UpstreamId upstream) {
    return candidates.computeIfAbsent(
        upstream, id -> memberHashing.candidates(key(id), MAX_CANDIDATES));
  }

  /**
   * Returns the members that may be home of a team.
   *
   * @param team the team
   * @return members in order of rank
   */
  public List<NodeId> homes(TeamId team) {
    return homes.computeIfAbsent(
        team, id -> memberHashing.candidates(Rendezvous.key("team/" + id.number()), MAX_HOMES));
  }

  /**
   * Returns the members that keep the roster.
   *
   * @param count most members to return
   * @return members in order of rank
   */
  public List<NodeId> keepers(int count) {
    return memberHashing.candidates(Rendezvous.key("roster"), count);
  }

  /**
   * Returns the slots that a node has a right to.
   *
   * @param upstream the upstream
   * @param node the node
   * @return its warm and cold share by the members, and its warm and cold share by both lists
   */
  public SlotShare share(Upstream upstream, NodeId node) {
    Slots next = slots(upstream, candidates(upstream.id()), node);
    if (settled || next.warm() == 0) {
      return new SlotShare(next, next);
    }
    Slots last = slots(upstream, basisHashing.candidates(key(upstream.id()), MAX_CANDIDATES), node);
    int warm = Math.min(next.warm(), last.warm());
    return new SlotShare(next, new Slots(warm, Math.min(next.cold(), last.cold())));
  }

  /**
   * Returns the part of a total that goes to one rank.
   *
   * @param total the total
   * @param parts number of parts, above 0
   * @param rank the rank, from 0
   * @return whole parts whose sum over all ranks is the total
   */
  public static int part(int total, int parts, int rank) {
    return total / parts + (rank < total % parts ? 1 : 0);
  }

  private static Slots slots(Upstream upstream, List<NodeId> ranked, NodeId node) {
    int rank = ranked.indexOf(node);
    if (rank < 0) {
      return Slots.none();
    }
    int parts = ranked.size();
    return new Slots(part(upstream.window(), parts, rank), part(upstream.coldLimit(), parts, rank));
  }

  private static long key(UpstreamId upstream) {
    return Rendezvous.key("upstream/" + upstream.number());
  }

  /**
   * Share of one node in one upstream.
   *
   * @param byMembers by the members alone
   * @param byBoth the smaller of the shares by the members and by the basis
   */
  public record SlotShare(Slots byMembers, Slots byBoth) {}
}
