package org.dandelionbeam.membership;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Upstream;

/**
 * Assigns upstreams, teams and the care for the roster to members by rendezvous hashing, and
 * divides the slots of upstreams among their candidates. The result is a pure function of a roster
 * and safe to read on any thread.
 */
public final class Assignments {
  /** Maximum number of candidates of an upstream. */
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
   * Returns the assignments by a roster.
   *
   * @param roster the roster
   * @return the assignments, computed on demand and cached
   */
  public static Assignments of(Roster roster) {
    return new Assignments(roster);
  }

  /**
   * Returns the candidates of an upstream: the members that may own it and hold shares of its
   * slots.
   *
   * @param upstream the upstream
   * @return members in order of rank
   */
  public List<NodeId> candidates(UpstreamId upstream) {
    return candidates.computeIfAbsent(
        upstream, id -> memberHashing.candidates(key(id), MAX_CANDIDATES));
  }

  /**
   * Returns the members that may be the home of a team.
   *
   * @param team the team
   * @return members in order of rank
   */
  public List<NodeId> homes(TeamId team) {
    return homes.computeIfAbsent(
        team, id -> memberHashing.candidates(Rendezvous.key("team/" + id.number()), MAX_HOMES));
  }

  /**
   * Returns the members that may be keepers of the roster.
   *
   * @param count most members to return
   * @return members in order of rank
   */
  public List<NodeId> keepers(int count) {
    return memberHashing.candidates(Rendezvous.key("roster"), count);
  }

  /**
   * Returns a node's share of the slots of an upstream.
   *
   * @param upstream the upstream
   * @param node the node
   * @return its share by the members, and its share by both the members and the basis
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
   * Returns the part of one rank when a total is divided evenly.
   *
   * @param total the total
   * @param parts number of parts, above 0
   * @param rank the rank, from 0
   * @return a whole number; the parts of all ranks add up to the total
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
   * Share of one node in the slots of one upstream.
   *
   * @param byMembers the share by the members alone
   * @param byBoth the smaller of the shares by the members and by the basis
   */
  public record SlotShare(Slots byMembers, Slots byBoth) {}
}
