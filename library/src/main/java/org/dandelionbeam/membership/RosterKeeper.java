package org.dandelionbeam.membership;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.membership.Departure.Reason;

/**
 * Wants the changes of the roster that fall to this node: its own entry and, on the few keepers,
 * removal of gone members and settling.
 */
public final class RosterKeeper {
  private static final int MAX_KEEPERS = 3;
  private static final int MAX_KEEPER_CANDIDATES = 8;
  private static final long QUIET_REMOVAL_NANOS = Duration.ofMinutes(10).toNanos();
  private static final long GONE_REMOVAL_NANOS = Duration.ofSeconds(10).toNanos();

  private final Member self;
  private final CompareAndSwapLoop<Roster> loop;
  private final RosterSettlement settlement;
  private Roster roster = Roster.empty();
  private List<NodeId> keeperCandidates = List.of();
  private Optional<Reason> resignReason = Optional.empty();
  private boolean leaving;

  /**
   * Makes the keeper of a node that knows no roster.
   *
   * @param self this node
   * @param timing times of loans and requests
   * @param random source of jitter
   * @param nowNanos monotonic time in nanoseconds
   */
  public RosterKeeper(Member self, LoanTiming timing, RandomGenerator random, long nowNanos) {
    this.self = requireNonNull(self, "self");
    loop = new CompareAndSwapLoop<>(Roster.empty(), random, nowNanos);
    settlement = RosterSettlement.of(timing);
  }

  /**
   * Takes longer times into use.
   *
   * @param timing times of loans and requests
   */
  public void updateTiming(LoanTiming timing) {
    settlement.updateTiming(timing);
  }

  /**
   * Returns the calls that change the key.
   *
   * @return the loop
   */
  public CompareAndSwapLoop<Roster> loop() {
    return loop;
  }

  /**
   * Takes a newer roster.
   *
   * @param next the roster
   * @param assignments division by that roster
   * @param nowNanos monotonic time in nanoseconds
   */
  public void adopt(Roster next, Assignments assignments, long nowNanos) {
    roster = next;
    keeperCandidates = assignments.keepers(MAX_KEEPER_CANDIDATES);
    settlement.adopt(next, nowNanos);
    loop.learn(next.revision(), next);
  }

  /**
   * Takes a confirmation.
   *
   * @param from the sender
   * @param confirmation the confirmation
   */
  public void onConfirmation(NodeId from, RosterConfirmation confirmation) {
    settlement.confirm(from, confirmation);
  }

  /**
   * Returns the members that settle and prune the roster, and watch its key.
   *
   * @param reachability what is known of other nodes
   * @return the first few reachable ones by rank
   */
  public List<NodeId> keepers(Reachability reachability) {
    return keeperCandidates.stream().filter(reachability::isReachable).limit(MAX_KEEPERS).toList();
  }

  /**
   * Tells whether this node keeps the roster.
   *
   * @param reachability what is known of other nodes
   * @return true for a keeper, and for a node that knows no roster
   */
  public boolean isKeeper(Reachability reachability) {
    return roster.revision() == 0 || keepers(reachability).contains(self.id());
  }

  /** Sets the leaving mark of this node. */
  public void leave() {
    leaving = true;
  }

  /**
   * Tells whether this node wants to leave.
   *
   * @return true after {@link #leave}
   */
  public boolean isLeaving() {
    return leaving;
  }

  /**
   * Takes this node off the roster.
   *
   * @param reason what holds for its slots
   */
  public void resign(Reason reason) {
    resignReason = Optional.of(reason);
  }

  /**
   * Tells whether this node has left the roster.
   *
   * @return true once a roster without it is in use
   */
  public boolean isResigned() {
    return resignReason.isPresent() && !isListed();
  }

  private boolean isListed() {
    return roster
        .member(self.id())
        .filter(member -> member.incarnation() == self.incarnation())
        .isPresent();
  }

  /**
   * Wants what is due.
   *
   * @param observation what is known of other nodes
   * @param nowNanos monotonic time in nanoseconds
   */
  public void tick(Observation observation, long nowNanos) {
    if (!loop.isIdle()) {
      return;
    }
    changeOwnEntry();
    if (roster.revision() > 0 && isKeeper(observation.reachability())) {
      removeLostMembers(observation);
      if (settlement.isDue(nowNanos)) {
        long generation = roster.generation();
        loop.addChange(current -> current.settle(generation));
      }
    }
  }

  private void changeOwnEntry() {
    if (resignReason.isPresent()) {
      if (isListed()) {
        Reason reason = resignReason.get();
        loop.addChange(
            current -> listsThisProcess(current) ? current.leave(self.id(), reason) : current);
      }
    } else if (!isListed()) {
      loop.addChange(current -> current.join(self));
    } else if (leaving) {
      loop.addChange(current -> current.markLeaving(self.id(), self.incarnation()));
    }
  }

  private boolean listsThisProcess(Roster current) {
    return current
        .member(self.id())
        .filter(member -> member.incarnation() == self.incarnation())
        .isPresent();
  }

  private void removeLostMembers(Observation observation) {
    for (Departure departure : roster.departures()) {
      if (departure.reason() == Reason.QUIET && observation.isGone(departure.member())) {
        loop.addChange(current -> current.leave(departure.member().id(), Reason.GONE));
      }
    }
    if (!observation.cutOff()) {
      observation.dead().forEach((id, nanos) -> removeIfLost(id, nanos, observation));
    }
  }

  private void removeIfLost(NodeId id, long deadNanos, Observation observation) {
    Optional<Member> listed = roster.member(id);
    if (listed.isEmpty()) {
      return;
    }
    boolean isGone = deadNanos >= GONE_REMOVAL_NANOS && observation.isGone(listed.get());
    if (isGone || deadNanos >= QUIET_REMOVAL_NANOS) {
      Reason reason = isGone ? Reason.GONE : Reason.QUIET;
      loop.addChange(current -> remove(current, listed.get(), reason));
    }
  }

  private static Roster remove(Roster current, Member member, Reason reason) {
    boolean isSameProcess =
        current
            .member(member.id())
            .filter(now -> now.incarnation() == member.incarnation())
            .isPresent();
    return isSameProcess ? current.leave(member.id(), reason) : current;
  }

  /**
   * What a keeper knows of other nodes.
   *
   * @param reachability reachability
   * @param dead members believed dead, with the time since then in nanoseconds
   * @param cutOff whether this node takes itself for cut off
   * @param vms the platform's list by host
   */
  public record Observation(
      Reachability reachability, Map<NodeId, Long> dead, boolean cutOff, Map<String, VmState> vms) {

    boolean isGone(Member member) {
      return vms.get(member.host()) == VmState.GONE;
    }
  }
}
