package org.dandelionbeam.membership;

import java.util.List;

/**
 * What a node may use of one upstream, readable on any thread.
 *
 * @param own slots of its own right
 * @param loans slots lent to it
 */
public record UsableSlots(Slots own, List<BorrowedSlots> loans) {
  private static final UsableSlots NONE = new UsableSlots(Slots.none(), List.of());

  /**
   * Returns the holding of a node that owns nothing.
   *
   * @return no slots
   */
  public static UsableSlots none() {
    return NONE;
  }

  /**
   * Adds up what is valid at a time.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @return slots that may be used
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
   * Loan in hand.
   *
   * @param slots the slots
   * @param requestSentNanos stamp of the request that the loan answers
   * @param untilNanos monotonic time from which it may not be used, a margin before its lender
   *     takes it back
   */
  public record BorrowedSlots(Slots slots, long requestSentNanos, long untilNanos) {}
}
