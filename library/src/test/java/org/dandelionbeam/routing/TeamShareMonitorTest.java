package org.dandelionbeam.routing;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.dandelionbeam.routing.TeamShareMonitor.TeamShare;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What teams got beside what they could claim. */
public class TeamShareMonitorTest {
  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;
  private static final TeamName LARGE = TeamName.of("large");
  private static final TeamName SMALL = TeamName.of("small");

  /** Tokens a second that the small team asks for and gets, and its ratio. */
  @DataProvider
  public Object[][] loads() {
    return new Object[][] {
      {300, 300, 1.0},
      {300, 75, 0.25},
      {4_000, 500, 0.5},
      {4_000, 1_000, 1.0},
    };
  }

  // Guards against a team that gets less than its share while nothing in the log says so.
  @Test(dataProvider = "loads")
  public void ratioComparesWithTheDemandOrTheBestServedTeam(int asked, int got, double ratio) {
    TeamUsage usage = TeamUsage.create();
    TeamShareMonitor monitor = TeamShareMonitor.of(usage);
    for (long ms = 0; ms < 8_000; ms += 10) {
      long now = ms * MS;
      usage.recordDemand(LARGE, 50, now);
      usage.recordUsage(LARGE, 10, now);
      usage.recordDemand(SMALL, asked / 100.0, now);
      usage.recordUsage(SMALL, got / 100.0, now);
      if (now % SECOND == 0) {
        monitor.sample(now);
      }
    }

    TeamShare small =
        monitor.shares(List.of(LARGE, SMALL)).stream()
            .filter(share -> share.team().equals(SMALL))
            .findFirst()
            .orElseThrow();
    assertEquals(small.ratio(), ratio, 0.02);
    assertEquals(small.got(), 6.0 * got, 0.05 * 6 * got);
  }

  @Test
  public void theLeastServedTeamComesFirstAndTeamsWithoutDemandAreLeftOut() {
    TeamUsage usage = TeamUsage.create();
    TeamShareMonitor monitor = TeamShareMonitor.of(usage);
    usage.recordDemand(LARGE, 1_000, 0);
    usage.recordUsage(LARGE, 900, 0);
    usage.recordDemand(SMALL, 1_000, 0);
    usage.recordUsage(SMALL, 300, 0);
    monitor.sample(0);

    List<TeamName> order =
        monitor.shares(List.of(LARGE, SMALL, TeamName.of("idle"))).stream()
            .map(TeamShare::team)
            .toList();
    assertEquals(order, List.of(SMALL, LARGE));
  }
}
