package org.dandelionbeam.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dandelionbeam.base.NodeId;

/**
 * A node's share of the slots of one upstream, and its loan to the owner.
 *
 * <p>A cold slot is free, lent, or withheld. It is withheld from the end of a loan until the
 * borrower reports that no request uses it, or the longest request deadline has passed.
 */
final class Lender {
  private LoanTiming timing;
  private final List<Withheld> withheld = new ArrayList<>();
  private Slots share = Slots.none();
  private Optional<Loan> loan = Optional.empty();
  private Optional<LastReturn> lastReturn = Optional.empty();

  Lender(LoanTiming timing) {
    this.timing = timing;
  }

  void updateTiming(LoanTiming newTiming) {
    timing = newTiming;
  }

  void setShare(Slots newShare) {
    share = newShare;
  }

  /** Ends the loan if it has expired, and frees withheld slots whose deadline has passed. */
  void expire(long nowNanos) {
    withheld.removeIf(entry -> entry.untilNanos - nowNanos <= 0);
    loan.filter(current -> current.expiresNanos - nowNanos <= 0).ifPresent(this::endLoan);
  }

  /** Returns the slots that are neither lent nor withheld. */
  Slots free() {
    int warm = Math.max(0, share.warm() - lentWarm());
    return new Slots(warm, Math.min(warm, freeCold()));
  }

  int freeCold() {
    return Math.max(0, share.cold() - lentCold() - withheldCold());
  }

  /** Tells whether the lent and withheld slots are within the node's share. */
  boolean isWithinShare() {
    return lentCold() + withheldCold() <= share.cold() && lentWarm() <= share.warm();
  }

  boolean isIdle() {
    return loan.isEmpty() && withheld.isEmpty();
  }

  /** Returns the node that holds the loan. */
  Optional<NodeId> borrower() {
    return loan.map(current -> current.borrower.node);
  }

  /**
   * Lends all slots that can be lent. A loan is renewed only with at least as many slots as before.
   *
   * @param process the process that sent the request
   * @param sentNanos the borrower's monotonic time when it sent the request
   * @param ownColdInUse cold slots that requests granted by this node use
   */
  Slots lend(NodeProcess process, long sentNanos, int ownColdInUse, long nowNanos) {
    expire(nowNanos);
    boolean isLentElsewhere = loan.isPresent() && !loan.get().borrower.equals(process);
    if (isLentElsewhere || isOutdated(process, sentNanos)) {
      return Slots.none();
    }
    int held = lentCold() + withheldCold(process);
    int cold = share.cold() - (withheldCold() - withheldCold(process)) - ownColdInUse;
    if (share.warm() == 0 || share.warm() < lentWarm() || cold < held) {
      return Slots.none();
    }
    Slots slots = new Slots(share.warm(), Math.max(0, cold));
    withheld.removeIf(entry -> entry.borrower.equals(process));
    loan = Optional.of(new Loan(process, slots, sentNanos, nowNanos + timing.loanNanos()));
    return slots;
  }

  private boolean isOutdated(NodeProcess process, long sentNanos) {
    boolean isOlderRequest =
        loan.filter(current -> sentNanos - current.requestSentNanos <= 0).isPresent();
    boolean isOlderThanReturn =
        lastReturn
            .filter(last -> last.borrower.equals(process) && sentNanos - last.sentNanos <= 0)
            .isPresent();
    return isOlderRequest || isOlderThanReturn;
  }

  /**
   * Takes a loan back when the borrower returned it, unless the loan answers a request that was
   * sent after the return.
   */
  void takeBack(NodeProcess process, long sentNanos, int coldInUse, long nowNanos) {
    expire(nowNanos);
    if (loan.filter(current -> current.borrower.equals(process)).isPresent()) {
      if (sentNanos - loan.get().requestSentNanos <= 0) {
        return;
      }
      endLoan(loan.get());
    }
    boolean isStale =
        withheld.stream()
            .anyMatch(entry -> entry.borrower.equals(process) && sentNanos - entry.sentNanos <= 0);
    if (!isStale) {
      lastReturn = Optional.of(new LastReturn(process, sentNanos));
      reduceWithheld(process, sentNanos, coldInUse);
    }
  }

  private void reduceWithheld(NodeProcess process, long sentNanos, int coldInUse) {
    int left = Math.min(coldInUse, withheldCold(process));
    long untilNanos =
        withheld.stream()
            .filter(entry -> entry.borrower.equals(process))
            .mapToLong(Withheld::untilNanos)
            .reduce(Long.MIN_VALUE, Math::max);
    withheld.removeIf(entry -> entry.borrower.equals(process));
    if (left > 0) {
      withheld.add(new Withheld(process, left, sentNanos, untilNanos));
    }
  }

  private void endLoan(Loan ended) {
    loan = Optional.empty();
    if (ended.slots.cold() > 0) {
      long untilNanos = ended.expiresNanos + timing.deadlineNanos();
      withheld.add(
          new Withheld(ended.borrower, ended.slots.cold(), ended.requestSentNanos, untilNanos));
    }
  }

  private int lentWarm() {
    return loan.map(current -> current.slots.warm()).orElse(0);
  }

  private int lentCold() {
    return loan.map(current -> current.slots.cold()).orElse(0);
  }

  private int withheldCold() {
    return withheld.stream().mapToInt(Withheld::cold).sum();
  }

  private int withheldCold(NodeProcess process) {
    return withheld.stream()
        .filter(entry -> entry.borrower.equals(process))
        .mapToInt(Withheld::cold)
        .sum();
  }

  /** One process of a node. */
  record NodeProcess(NodeId node, long incarnation) {}

  private record Loan(
      NodeProcess borrower, Slots slots, long requestSentNanos, long expiresNanos) {}

  private record LastReturn(NodeProcess borrower, long sentNanos) {}

  private record Withheld(NodeProcess borrower, int cold, long sentNanos, long untilNanos) {}
}
