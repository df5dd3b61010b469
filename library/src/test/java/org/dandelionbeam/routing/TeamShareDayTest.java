package org.dandelionbeam.routing;

import static org.testng.Assert.assertTrue;

import java.util.List;
import org.dandelionbeam.routing.SkewedTeams.Heat;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Shares of teams over whole days of uneven load, in each window of six seconds. */
public class TeamShareDayTest {
  private static final double TOKENS_PER_MS = 41.4;
  private static final int DAY_MS = 20_000;

  /** A message between routers costs this many times less than a request. */
  private static final double MESSAGES_PER_REQUEST_COST = 10;

  /** The largest team pauses and comes back, small teams and middle ones become hot by turns. */
  private static final List<Heat> HEATS =
      List.of(
          new Heat(0, 0, 0.02, 500, 8_400),
          new Heat(4, 11, 9, 3_500, 11_100),
          new Heat(2, 2, 3.2, 9_500, 17_000),
          new Heat(1, 1, 0.05, 11_500, 17_200),
          new Heat(5, 5, 12, 13_500, 20_000));

  /** Seed, routers, engines, requests per ms and engine, ms of the event loop for a request. */
  @DataProvider
  public Object[][] days() {
    return new Object[][] {
      {1L, 7, 8, 0.02, 0.0},
      {2L, 7, 8, 0.03, 1.5},
      {3L, 16, 20, 0.02, 0.0},
      {4L, 16, 20, 0.03, 1.0},
    };
  }

  // Guards against a team that gets less than half of its share in any six seconds, while teams
  // pause, return and become hot.
  @Test(dataProvider = "days")
  public void eachTeamGetsItsShareInEveryWindow(
      long seed, int routers, int engines, double requestsPerMs, double requestCostMs) {
    SimulatedFleet fleet = new SimulatedFleet(routers, engines, TOKENS_PER_MS);
    fleet.processingCost(requestCostMs, requestCostMs / MESSAGES_PER_REQUEST_COST);

    FairnessRecord.Share worst =
        new SkewedTeams(fleet, seed, requestsPerMs * engines, HEATS).run(DAY_MS).worst();

    assertTrue(worst.margin() >= 0, worst.toString());
  }
}
