package org.dandelionbeam.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.NodeId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * How nodes agree on marks that are set concurrently, and how a failure domain returns by steps.
 */
public class DomainMarksTest {
  private static final FailureDomain EAST = FailureDomain.of("east");
  private static final DomainMark LEFT = new DomainMark("east", true, 3, "n");

  @DataProvider
  public Object[][] races() {
    return new Object[][] {
      {new DomainMark("east", false, 4, "a"), false},
      {new DomainMark("east", false, 2, "z"), true},
      {new DomainMark("east", false, 3, "z"), false},
      {new DomainMark("east", false, 3, "a"), true},
    };
  }

  @Test(dataProvider = "races")
  public void theNewestMarkWinsInAnyOrder(DomainMark other, boolean leaving) {
    DomainMarks one = new DomainMarks(NodeId.of("one"));
    one.merge(LEFT, 0);
    one.merge(other, 0);
    DomainMarks two = new DomainMarks(NodeId.of("two"));
    two.merge(other, 0);
    two.merge(LEFT, 0);
    assertEquals(one.isLeaving(EAST), leaving);
    assertEquals(two.isLeaving(EAST), leaving);
    assertEquals(one.digest(), two.digest());
    assertEquals(DomainMarks.union(List.of(LEFT), List.of(other)), one.all());
  }

  @Test
  public void aReturningDomainIsAdmittedBySteps() {
    DomainMarks marks = new DomainMarks(NodeId.of("n"));
    marks.set(EAST, true, 0);
    assertEquals(marks.admittedShare(EAST, 1), 0.0);
    marks.set(EAST, false, 0);
    double last = 0;
    int steps = 0;
    for (int second = 0; second <= 20; second++) {
      double share = marks.admittedShare(EAST, Duration.ofSeconds(second).toNanos());
      assertTrue(share >= last && share > 0);
      steps += share > last ? 1 : 0;
      last = share;
    }
    assertEquals(last, 1.0);
    assertEquals(steps, 5);
  }

  @Test
  public void aNodeThatNeverKnewOfTheLeaveAdmitsTheWholeDomain() {
    DomainMarks marks = new DomainMarks(NodeId.of("n"));
    marks.merge(new DomainMark("east", false, 2, "m"), 0);
    assertEquals(marks.admittedShare(EAST, 0), 1.0);
  }

  @Test
  public void settingTheSameMarkAgainChangesNothing() {
    DomainMarks marks = new DomainMarks(NodeId.of("n"));
    DomainMark first = marks.set(EAST, true, 0);
    assertEquals(marks.set(EAST, true, 5), first);
    assertFalse(marks.merge(first, 6));
  }

  @Test
  public void marksStopTravellingAfterABoundedNumberOfMessages() {
    DomainMarks marks = new DomainMarks(NodeId.of("n"));
    marks.set(EAST, true, 0);
    int sent = 0;
    for (int message = 0; message < 1_000; message++) {
      sent += marks.nextMarks().size();
    }
    assertTrue(sent > 0 && sent < 100, "sent " + sent);
  }
}
