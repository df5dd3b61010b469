package org.dandelionbeam.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.dandelionbeam.base.NodeId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * When lent slots may be used or lent again. A slot that is free too early is used twice, and one
 * that is withheld for ever is lost.
 */
public class LenderTest {
  private static final LoanTiming TIMING = LoanTiming.of(Duration.ofSeconds(6));
  private static final Lender.NodeProcess A = new Lender.NodeProcess(NodeId.of("a"), 1);
  private static final Lender.NodeProcess B = new Lender.NodeProcess(NodeId.of("b"), 1);
  private static final Lender.NodeProcess RESTARTED_A = new Lender.NodeProcess(NodeId.of("a"), 2);
  private static final Slots SHARE = new Slots(4, 2);

  private Lender lender;

  @BeforeMethod
  public void createLender() {
    lender = new Lender(TIMING);
    lender.setShare(SHARE);
  }

  @Test
  public void lentSlotsAreNeitherUsedNorLentAgainBeforeTheLoanExpires() {
    assertEquals(lender.lend(A, 1, 0, 0), SHARE);
    assertEquals(lender.free(), Slots.none());
    assertEquals(lender.lend(B, 1, 0, TIMING.loanNanos() - 1), Slots.none());
    assertEquals(lender.lend(B, 2, 0, TIMING.loanNanos()), new Slots(4, 0));
  }

  @Test
  public void coldSlotsOfAnExpiredLoanAreWithheldUntilTheDeadline() {
    lender.lend(A, 1, 0, 0);
    long deadline = TIMING.loanNanos() + TIMING.deadlineNanos();
    lender.expire(deadline - 1);
    assertEquals(lender.free(), new Slots(4, 0));
    lender.expire(deadline);
    assertEquals(lender.free(), SHARE);
  }

  @DataProvider
  public Object[][] returns() {
    return new Object[][] {
      {A, 2L, 0, 2},
      {A, 2L, 1, 1},
      {A, 2L, 5, 0},
      {A, 1L, 0, 0},
      {RESTARTED_A, 2L, 0, 0},
      {B, 2L, 0, 0}
    };
  }

  @Test(dataProvider = "returns")
  public void onlyALaterReturnOfTheBorrowerFreesSlots(
      Lender.NodeProcess process, long sentNanos, int used, int free) {
    lender.lend(A, 1, 0, 0);
    lender.takeBack(process, sentNanos, used, 1);
    assertEquals(lender.freeCold(), free);
  }

  @Test
  public void withheldSlotsMayBeLentToTheSameProcessOnly() {
    lender.lend(A, 1, 0, 0);
    long expired = TIMING.loanNanos();
    assertEquals(lender.lend(RESTARTED_A, 5, 0, expired).cold(), 0);
    lender.takeBack(RESTARTED_A, 6, 0, expired);
    assertEquals(lender.lend(A, 7, 0, expired), SHARE);
  }

  @DataProvider
  public Object[][] smallerShares() {
    return new Object[][] {{new Slots(2, 1)}, {new Slots(4, 1)}, {new Slots(3, 2)}};
  }

  @Test(dataProvider = "smallerShares")
  public void aLoanIsNotRenewedWithFewerSlots(Slots smaller) {
    lender.lend(A, 1, 0, 0);
    lender.setShare(smaller);
    assertEquals(lender.lend(A, 2, 0, 1), Slots.none());
    assertFalse(lender.isWithinShare());
    lender.takeBack(A, 3, 1, 2);
    assertTrue(lender.isWithinShare());
    assertEquals(lender.lend(A, 4, 0, 3), smaller);
  }

  @Test
  public void aRequestOlderThanTheLastReturnGetsNothing() {
    lender.lend(A, 1, 0, 0);
    lender.takeBack(A, 5, 0, 1);
    assertEquals(lender.lend(A, 4, 0, 2), Slots.none());
    assertEquals(lender.lend(A, 6, 0, 3), SHARE);
  }

  @Test
  public void ownRequestsKeepTheirSlots() {
    assertEquals(lender.lend(A, 1, 1, 0), new Slots(4, 1));
  }
}
