package org.dandelionbeam.membership;

import java.util.HashSet;
import java.util.Set;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.membership.Departure.Reason;

/** Confirmations of the roster in use, which tell when its members may become the basis. */
public final class RosterSettlement {
  private long graceNanos;
  private final Set<NodeId> confirmed = new HashSet<>();
  private Roster roster = Roster.empty();
  private long changedNanos;

  private RosterSettlement(long graceNanos) {
    this.graceNanos = graceNanos;
  }

  /**
   * Returns a settlement that knows no roster.
   *
   * @param timing times of loans and requests
   * @return the settlement
   */
  public static RosterSettlement of(LoanTiming timing) {
    return new RosterSettlement(timing.loanNanos() + timing.deadlineNanos());
  }

  /**
   * Takes longer times into use; shorter ones are ignored, since older requests run on.
   *
   * @param timing times of loans and requests
   */
  public void updateTiming(LoanTiming timing) {
    graceNanos = Math.max(graceNanos, timing.loanNanos() + timing.deadlineNanos());
  }

  /**
   * Takes the roster in use.
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
   * Takes a confirmation; one of another generation is ignored.
   *
   * @param from the sender
   * @param confirmation the confirmation
   */
  public void confirm(NodeId from, RosterConfirmation confirmation) {
    if (confirmation.generation() == roster.generation()) {
      confirmed.add(from);
    }
  }

  /**
   * Tells whether every possible holder of cold slots keeps to the roster, and requests of members
   * that are gone have ended.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @return false if the roster is settled already
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
