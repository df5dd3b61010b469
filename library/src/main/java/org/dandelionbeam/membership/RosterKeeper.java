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
 * Makes the changes of the roster that this node is responsible for: its own entry and, on the few
 * members that are keepers, the removal of lost members and settling.
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
   * Creates the keeper of a node that knows no roster.
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
   * Extends the times after which the roster may be settled.
   *
   * @param timing times of loans and requests
   */
  public void updateTiming(LoanTiming timing) {
    settlement.updateTiming(timing);
  }

  /**
   * Returns the loop that changes the roster's key.
   *
   * @return the loop, whose calls the caller makes
   */
  public CompareAndSwapLoop<Roster> loop() {
    return loop;
  }

  /**
   * Sets a newer roster as the one in use.
   *
   * @param next the roster
   * @param assignments assignments by that roster
   * @param nowNanos monotonic time in nanoseconds
   */
  public void adopt(Roster next, Assignments assignments, long nowNanos) {
    roster = next;
    keeperCandidates = assignments.keepers(MAX_KEEPER_CANDIDATES);
    settlement.adopt(next, nowNanos);
    loop.learn(next.revision(), next);
  }

  /**
   * Records a confirmation of the roster.
   *
   * @param from the sender
   * @param confirmation the confirmation
   */
  public void onConfirmation(NodeId from, RosterConfirmation confirmation) {
    settlement.confirm(from, confirmation);
  }

  /**
   * Returns the keepers: the members that settle the roster, remove lost members and watch its key.
   *
   * @param reachability what is known of other nodes
   * @return the reachable candidates of the highest rank
   */
  public List<NodeId> keepers(Reachability reachability) {
    return keeperCandidates.stream().filter(reachability::isReachable).limit(MAX_KEEPERS).toList();
  }

  /**
   * Tells whether this node is a keeper of the roster.
   *
   * @param reachability what is known of other nodes
   * @return true for a keeper, and for a node that knows no roster
   */
  public boolean isKeeper(Reachability reachability) {
    return roster.revision() == 0 || keepers(reachability).contains(self.id());
  }

  /** Marks this node as leaving. */
  public void leave() {
    leaving = true;
  }

  /**
   * Tells whether this node is leaving.
   *
   * @return true after {@link #leave}
   */
  public boolean isLeaving() {
    return leaving;
  }

  /**
   * Removes this node from the roster.
   *
   * @param reason reason that the roster records; it tells whether slots and requests of this node
   *     may still be in use
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
   * Adds the changes that are due, unless earlier ones are pending.
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
   * State of other nodes as this node knows it.
   *
   * @param reachability which nodes are reachable
   * @param dead members believed dead, with the time for which they have been so in nanoseconds
   * @param cutOff whether this node believes itself cut off; it removes no dead members then
   * @param vms the platform's states of VMs by host
   */
  public record Observation(
      Reachability reachability, Map<NodeId, Long> dead, boolean cutOff, Map<String, VmState> vms) {

    boolean isGone(Member member) {
      return vms.get(member.host()) == VmState.GONE;
    }
  }
}
