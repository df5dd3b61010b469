package org.dandelionbeam.membership;

import java.util.List;

/**
 * Slots of one upstream that a node may use; immutable and safe on any thread.
 *
 * @param own free slots of the node's own share
 * @param loans slots that the node borrowed
 */
public record UsableSlots(Slots own, List<BorrowedSlots> loans) {
  private static final UsableSlots NONE = new UsableSlots(Slots.none(), List.of());

  /**
   * Returns no slots, for a node that does not own the upstream.
   *
   * @return neither own nor borrowed slots
   */
  public static UsableSlots none() {
    return NONE;
  }

  /**
   * Adds up the own slots and the loans that have not ended.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @return the slots that may be used at that time
   */
  public Slots totalAt(long nowNanos) {
    int warm = own.warm();
    int cold = own.cold();
    for (BorrowedSlots loan : loans) {
      if (loan.untilNanos() - nowNanos > 0) {
        warm += loan.slots().warm();
        cold += loan.slots().cold();
      }
    }
    return new Slots(warm, cold);
  }

  /**
   * Loan as its borrower holds it.
   *
   * @param slots the slots
   * @param requestSentNanos the borrower's monotonic time when it sent the request that the loan
   *     answers
   * @param untilNanos monotonic time from which the slots may not be used, a safety margin before
   *     the lender takes them back
   */
  public record BorrowedSlots(Slots slots, long requestSentNanos, long untilNanos) {}
}
