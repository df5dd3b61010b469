package org.dandelionbeam.dispatch;

import static org.testng.Assert.assertEquals;

import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.membership.Slots;
import org.testng.annotations.Test;

public class InFlightCountsTest {
  private static final UpstreamId UPSTREAM = UpstreamId.of(1);

  @Test
  public void grantCountsBeforeItReadsItsSlotsForTheLastTime() {
    TestFleet fleet = new TestFleet(1, 1, 1, 4);
    fleet.run(2_000);
    fleet.slots = new Slots(1, 1);
    for (int i = 0; i < 3; i++) {
      fleet.submit(0, 1);
    }
    fleet.run(200);
    InFlightCounts counts = fleet.nodes.get(TestFleet.node(0)).owner().inFlightCounts();
    assertEquals(counts.count(UPSTREAM), 1);
    assertEquals(fleet.inFlight(1), 1);
    fleet.slots = Slots.none();
    fleet.run(200);
    assertEquals(counts.count(UPSTREAM), 1);
  }
}
