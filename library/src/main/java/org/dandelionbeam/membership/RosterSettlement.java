package org.dandelionbeam.membership;

import java.util.HashSet;
import java.util.Set;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.membership.Departure.Reason;

/**
 * Collects confirmations of the roster in use and decides when its members may become the basis.
 */
public final class RosterSettlement {
  private long graceNanos;
  private final Set<NodeId> confirmed = new HashSet<>();
  private Roster roster = Roster.empty();
  private long changedNanos;

  private RosterSettlement(long graceNanos) {
    this.graceNanos = graceNanos;
  }

  /**
   * Creates a settlement that knows no roster.
   *
   * @param timing times of loans and requests
   * @return the settlement
   */
  public static RosterSettlement of(LoanTiming timing) {
    return new RosterSettlement(timing.loanNanos() + timing.deadlineNanos());
  }

  /**
   * Extends the grace period; shorter times are ignored, because requests that were started with
   * the longer deadline may still run.
   *
   * @param timing times of loans and requests
   */
  public void updateTiming(LoanTiming timing) {
    graceNanos = Math.max(graceNanos, timing.loanNanos() + timing.deadlineNanos());
  }

  /**
   * Sets the roster in use; a new member list discards the confirmations so far.
   *
   * @param next the roster
   * @param nowNanos monotonic time in nanoseconds
   */
  public void adopt(Roster next, long nowNanos) {
    if (next.generation() != roster.generation()) {
      confirmed.clear();
      changedNanos = nowNanos;
    }
    if (!next.departures().equals(roster.departures())) {
      changedNanos = nowNanos;
    }
    roster = next;
  }

  /**
   * Records a confirmation; one of another generation is ignored.
   *
   * @param from the node that confirms
   * @param confirmation the confirmation
   */
  public void confirm(NodeId from, RosterConfirmation confirmation) {
    if (confirmation.generation() == roster.generation()) {
      confirmed.add(from);
    }
  }

  /**
   * Tells whether the roster can be settled: every possible holder of cold slots has confirmed it,
   * and requests of departed members have ended.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @return true if it can be settled now, false if it cannot or is settled already
   */
  public boolean isDue(long nowNanos) {
    boolean membersConfirmed =
        roster.members().stream()
            .map(Member::id)
            .allMatch(id -> confirmed.contains(id) || roster.joined().contains(id));
    boolean departedConfirmed =
        roster.departures().stream()
            .filter(departure -> departure.reason().mayHoldSlots())
            .allMatch(departure -> confirmed.contains(departure.member().id()));
    return !roster.isSettled()
        && membersConfirmed
        && departedConfirmed
        && (nowNanos - changedNanos >= graceNanos || haveAllRequestsEnded());
  }

  private boolean haveAllRequestsEnded() {
    return roster.departures().stream().map(Departure::reason).noneMatch(Reason::mayHaveRequests);
  }
}
