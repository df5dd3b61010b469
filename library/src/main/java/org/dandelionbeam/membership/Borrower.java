package org.dandelionbeam.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.membership.UsableSlots.BorrowedSlots;

/**
 * Loans of slots of one upstream to this node, and the returns that it has to send for ended loans.
 */
final class Borrower {
  private static final int FINAL_RETURNS = 3;

  private LoanTiming timing;
  private final Map<NodeId, BorrowedSlots> loans = new HashMap<>();
  private final Map<NodeId, PendingReturn> pendingReturns = new HashMap<>();
  private final Map<NodeId, Long> lastReturnNanos = new HashMap<>();
  private final Map<NodeId, Long> lastRequestNanos = new HashMap<>();

  Borrower(LoanTiming timing) {
    this.timing = timing;
  }

  void updateTiming(LoanTiming newTiming) {
    timing = newTiming;
  }

  /**
   * Accepts a loan, unless it is older than the known one or requested before the last return; a
   * refusal ends the loan at once.
   */
  void accept(NodeId lender, Slots slots, long requestSentNanos, long nowNanos) {
    BorrowedSlots before = loans.get(lender);
    boolean isOutdated = before != null && requestSentNanos - before.requestSentNanos() <= 0;
    boolean isBeforeLastReturn =
        lastReturnNanos.containsKey(lender) && requestSentNanos - lastReturnNanos.get(lender) <= 0;
    if (isOutdated || isBeforeLastReturn) {
      return;
    }
    if (slots.warm() == 0) {
      endLoan(lender, nowNanos);
      return;
    }
    long untilNanos = requestSentNanos + timing.loanNanos() - timing.marginNanos();
    loans.put(lender, new BorrowedSlots(slots, requestSentNanos, untilNanos));
    pendingReturns.remove(lender);
  }

  /** Ends expired loans, and drops returns that are no longer needed. */
  void expire(long nowNanos) {
    List<NodeId> expired =
        loans.entrySet().stream()
            .filter(entry -> entry.getValue().untilNanos() - nowNanos <= 0)
            .map(Map.Entry::getKey)
            .toList();
    expired.forEach(lender -> endLoan(lender, nowNanos));
    pendingReturns
        .values()
        .removeIf(entry -> entry.untilNanos - nowNanos <= 0 || entry.remainingReturns <= 0);
  }

  void recordRequest(NodeId lender, long nowNanos) {
    lastRequestNanos.put(lender, nowNanos);
  }

  /** Ends all loans, including those whose responses may still be in transit. */
  void endAllLoans(long nowNanos) {
    List.copyOf(loans.keySet()).forEach(lender -> endLoan(lender, nowNanos));
    lastRequestNanos.forEach((lender, at) -> addPendingReturn(lender, at, nowNanos));
    lastRequestNanos.clear();
  }

  private void addPendingReturn(NodeId lender, long requestSentNanos, long nowNanos) {
    if (nowNanos - requestSentNanos < timing.loanNanos()) {
      pendingReturns.putIfAbsent(
          lender, new PendingReturn(0, nowNanos + timing.loanNanos(), FINAL_RETURNS));
    }
  }

  boolean hasLoanFrom(NodeId lender) {
    return loans.containsKey(lender);
  }

  boolean isIdle() {
    return loans.isEmpty() && pendingReturns.isEmpty();
  }

  List<BorrowedSlots> loans() {
    return List.copyOf(loans.values());
  }

  int usableCold(long nowNanos) {
    return loans.values().stream()
        .filter(loan -> loan.untilNanos() - nowNanos > 0)
        .mapToInt(loan -> loan.slots().cold())
        .sum();
  }

  /** Returns the lenders to which returns have to be sent. */
  List<NodeId> lendersAwaitingReturn() {
    return new ArrayList<>(pendingReturns.keySet());
  }

  /**
   * Returns the maximum number of cold slots of a lender that running requests use, and records
   * that it is sent to the lender.
   *
   * @param coveredCold own cold slots and those of valid loans; running requests are counted
   *     against these first
   */
  int recordReturn(NodeId lender, int inFlight, int coveredCold, long nowNanos) {
    PendingReturn before = pendingReturns.get(lender);
    int used = Math.min(before.cold, Math.max(0, inFlight - coveredCold));
    int remainingReturns = used == 0 ? before.remainingReturns - 1 : before.remainingReturns;
    pendingReturns.put(lender, new PendingReturn(used, before.untilNanos, remainingReturns));
    lastReturnNanos.put(lender, nowNanos);
    return used;
  }

  private void endLoan(NodeId lender, long nowNanos) {
    BorrowedSlots ended = loans.remove(lender);
    if (ended != null) {
      long untilNanos = nowNanos + timing.deadlineNanos();
      pendingReturns.put(
          lender, new PendingReturn(ended.slots().cold(), untilNanos, FINAL_RETURNS));
    }
  }

  private record PendingReturn(int cold, long untilNanos, int remainingReturns) {}
}
