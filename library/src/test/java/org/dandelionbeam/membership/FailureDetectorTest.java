package org.dandelionbeam.membership;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.SplittableRandom;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.membership.FailureDetector.State;
import org.dandelionbeam.membership.Gossip.Rumour;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** How a node answers what others believe of it. */
public class FailureDetectorTest {
  private static final NodeId SELF = NodeId.of("n1");
  private static final long INCARNATION = 4;

  @DataProvider
  public static Object[][] suspicions() {
    return new Object[][] {
      {State.SUSPECT, 4, 5}, {State.DEAD, 4, 5}, {State.SUSPECT, 3, 4}, {State.DEAD, 3, 4}
    };
  }

  /** A node that missed the newest incarnation would suspect an older one for ever. */
  @Test(dataProvider = "suspicions")
  public void suspicionIsRefutedAlsoOfAnOlderIncarnation(State state, long of, long announced) {
    FailureDetector detector = new FailureDetector(SELF, INCARNATION, new SplittableRandom(1), 0);

    detector.onRumour(new Rumour(SELF.name(), state.ordinal(), of), 0);

    assertEquals(
        detector.nextRumours(), List.of(new Rumour(SELF.name(), State.ALIVE.ordinal(), announced)));
  }

  @Test
  public void nothingIsAnnouncedWhenNobodySuspects() {
    FailureDetector detector = new FailureDetector(SELF, INCARNATION, new SplittableRandom(1), 0);

    detector.onRumour(new Rumour(SELF.name(), State.ALIVE.ordinal(), INCARNATION), 0);

    assertEquals(detector.nextRumours(), List.of());
  }
}
