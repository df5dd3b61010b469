package org.dandelionbeam.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.membership.Departure.Reason;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Changes of the roster, and when its members may become the basis. A basis that changes too early
 * lets two nodes use the same cold slot.
 */
public class RosterTest {
  private static final Member A = RendezvousTest.member(1, 3);
  private static final Member B = RendezvousTest.member(2, 3);
  private static final LoanTiming TIMING = LoanTiming.of(Duration.ofSeconds(6));

  private static Roster settledPair() {
    Roster roster = Roster.empty().join(A).join(B);
    return roster.settle(roster.generation()).atRevision(1);
  }

  @Test
  public void joinedMembersAreOutsideTheBasisUntilSettled() {
    Roster roster = settledPair().join(RendezvousTest.member(3, 3));
    assertEquals(roster.basis(), List.of(A, B));
    assertEquals(roster.settle(roster.generation()).basis().size(), 3);
    assertSame(roster.settle(roster.generation() - 1), roster);
  }

  @Test
  public void departedMembersStayInTheBasisUntilSettled() {
    Roster roster = settledPair().leave(A.id(), Reason.QUIET);
    assertEquals(Set.copyOf(roster.basis()), Set.of(A, B));
    assertEquals(roster.settle(roster.generation()).basis(), List.of(B));
  }

  @Test
  public void changesAreIdempotent() {
    Roster roster = settledPair();
    assertSame(roster.join(A), roster);
    assertSame(roster.leave(NodeId.of("stranger"), Reason.GONE), roster);
    Roster marked = roster.markLeaving(A.id(), A.incarnation());
    assertSame(marked.markLeaving(A.id(), A.incarnation()), marked);
  }

  @Test
  public void quietMemberThatComesBackNeedsNoSettling() {
    Roster roster = settledPair().leave(A.id(), Reason.QUIET).join(A);
    assertTrue(roster.isSettled());
  }

  @DataProvider
  public Object[][] departures() {
    return new Object[][] {
      {Reason.QUIET, false, false}, {Reason.GONE, false, true}, {Reason.RESIGNED, true, true}
    };
  }

  @Test(dataProvider = "departures")
  public void settlingWaitsForAllPossibleSlotHolders(Reason reason, boolean atOnce, boolean later) {
    Roster roster = settledPair().leave(A.id(), reason).atRevision(2);
    RosterSettlement settlement = RosterSettlement.of(TIMING);
    settlement.adopt(roster, 0);
    assertFalse(settlement.isDue(0));
    settlement.confirm(B.id(), new RosterConfirmation(2, roster.generation()));
    assertEquals(settlement.isDue(0), atOnce);
    long grace = TIMING.loanNanos() + TIMING.deadlineNanos();
    assertEquals(settlement.isDue(grace), later);
    settlement.confirm(A.id(), new RosterConfirmation(2, roster.generation()));
    assertTrue(settlement.isDue(grace));
  }

  @Test
  public void aConfirmationOfAnotherGenerationIsIgnored() {
    Roster roster = settledPair().leave(A.id(), Reason.RESIGNED).atRevision(2);
    RosterSettlement settlement = RosterSettlement.of(TIMING);
    settlement.adopt(roster, 0);
    settlement.confirm(B.id(), new RosterConfirmation(1, roster.generation() - 1));
    assertFalse(settlement.isDue(0));
  }

  @Test
  public void settlingWaitsForTheLongestDeadlineThatWasEverConfigured() {
    Roster roster = settledPair().leave(A.id(), Reason.GONE).atRevision(2);
    RosterSettlement settlement = RosterSettlement.of(TIMING);
    settlement.adopt(roster, 0);
    settlement.confirm(B.id(), new RosterConfirmation(2, roster.generation()));
    LoanTiming longer = TIMING.withDeadline(10 * TIMING.deadlineNanos());
    settlement.updateTiming(longer);
    settlement.updateTiming(TIMING);
    long grace = longer.loanNanos() + longer.deadlineNanos();
    assertFalse(settlement.isDue(grace - 1));
    assertTrue(settlement.isDue(grace));
  }
}
