package org.dandelionbeam.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.dandelionbeam.base.NodeId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * How long a borrower uses a loan, and when it returns slots to the lender. A loan that is used too
 * long lets two nodes use the same slot.
 */
public class BorrowerTest {
  private static final LoanTiming TIMING = LoanTiming.of(Duration.ofSeconds(6));
  private static final NodeId LENDER = NodeId.of("l");
  private static final NodeId OTHER = NodeId.of("m");
  private static final Slots LENT = new Slots(4, 2);

  private Borrower borrower;

  @BeforeMethod
  public void create() {
    borrower = new Borrower(TIMING);
  }

  @Test
  public void aLoanRunsFromItsRequestNotFromTheResponse() {
    long answered = Duration.ofSeconds(1).toNanos();
    borrower.accept(LENDER, LENT, 0, answered);
    long until = TIMING.loanNanos() - TIMING.marginNanos();
    assertEquals(borrower.usableCold(until - 1), 2);
    assertEquals(borrower.usableCold(until), 0);
  }

  @Test
  public void aResponseThatArrivesAfterTheLoanEndedIsIgnored() {
    borrower.accept(LENDER, LENT, 0, TIMING.loanNanos());
    assertEquals(borrower.usableCold(TIMING.loanNanos()), 0);
  }

  @Test
  public void anOlderResponseDoesNotReplaceANewerOne() {
    borrower.accept(LENDER, LENT, 10, 11);
    borrower.accept(LENDER, Slots.none(), 9, 12);
    assertEquals(borrower.usableCold(12), 2);
  }

  @Test
  public void aLoanRequestedBeforeAReturnIsNotUsed() {
    borrower.accept(LENDER, LENT, 1, 2);
    borrower.endAllLoans(3);
    assertEquals(borrower.recordReturn(LENDER, 0, 0, 10), 0);
    borrower.accept(LENDER, LENT, 9, 11);
    assertEquals(borrower.usableCold(11), 0);
    borrower.accept(LENDER, LENT, 11, 12);
    assertEquals(borrower.usableCold(12), 2);
  }

  @Test
  public void aReturnCountsRunningRequestsThatOtherSlotsDoNotCover() {
    borrower.accept(LENDER, LENT, 1, 2);
    borrower.accept(OTHER, LENT, 1, 2);
    borrower.accept(LENDER, Slots.none(), 3, 4);
    assertEquals(borrower.lendersAwaitingReturn(), List.of(LENDER));
    assertEquals(borrower.recordReturn(LENDER, 3, borrower.usableCold(5), 5), 1);
    assertEquals(borrower.recordReturn(LENDER, 4, borrower.usableCold(6), 6), 1);
    assertEquals(borrower.recordReturn(LENDER, 2, borrower.usableCold(7), 7), 0);
  }

  @Test
  public void lendersWithAnUnansweredRequestGetAReturnToo() {
    borrower.recordRequest(LENDER, 1);
    borrower.endAllLoans(2);
    assertEquals(borrower.lendersAwaitingReturn(), List.of(LENDER));
    borrower.expire(2 + TIMING.loanNanos());
    assertTrue(borrower.isIdle());
  }
}
