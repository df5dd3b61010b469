package org.dandelionbeam.dispatch;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.dispatch.TestFleet.Answer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Fairness between teams that wait only at a busy owner and a team that waits only at a quiet one.
 * Guards against a gap in usage that grows with time when tickets stay at the busy owner.
 */
public class CrossOwnerFairnessTest {
  private static final int TEAMS = 6;
  private static final int QUIET_TEAM = TEAMS;
  private static final int WINDOW = 2;
  private static final int TICKETS_KEPT_WAITING = 6;
  private static final double COST = 10;
  private static final long TICK_MILLIS = 20;
  private static final long RUN_MILLIS = 100;
  private static final int REPORT_MILLIS = 500;
  private static final int BACKLOG_PER_TEAM = 50;
  private static final double MAX_COST_IN_FLIGHT = 2 * WINDOW * COST;

  /**
   * Each side of the gap may grow by the cost in flight and by the usage of one report interval.
   */
  private static final double MAX_GAP =
      2 * (MAX_COST_IN_FLIGHT + MAX_COST_IN_FLIGHT / RUN_MILLIS * REPORT_MILLIS);

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}};
  }

  @DataProvider
  public Object[][] seedsAndStarts() {
    return new Object[][] {{1L, 0}, {2L, 0}, {3L, 0}, {4L, 2_000}, {5L, 2_000}, {6L, 10_000}};
  }

  @Test(dataProvider = "seedsAndStarts")
  public void gapDoesNotGrowWithTime(long seed, int quietAheadMillis) {
    TestFleet fleet = new TestFleet(seed, 2, 2, WINDOW);
    double[] usage = new double[TEAMS + 1];
    List<Attempt> open = new ArrayList<>();
    runFor(fleet, open, usage, quietAheadMillis, QUIET_TEAM);
    Arrays.fill(usage, 0);
    for (int second = 0; second < 70; second++) {
      runFor(fleet, open, usage, 1_000, 1);
      assertTrue(gap(usage) <= MAX_GAP, second + " s: " + Arrays.toString(usage));
    }
  }

  @Test(dataProvider = "seeds")
  public void ticketsThatWaitAtABusyOwnerMoveToAQuietOne(long seed) {
    TestFleet fleet = new TestFleet(seed, 2, 2, WINDOW);
    UpstreamId quiet = UpstreamId.of(2);
    fleet.owners.remove(quiet);
    fleet.ownershipChanged();
    List<Attempt> open = new ArrayList<>();
    for (int i = 0; i < BACKLOG_PER_TEAM; i++) {
      for (int team = 1; team < QUIET_TEAM; team++) {
        open.add(new Attempt(0, team, fleet.submit(0, team)));
      }
    }
    fleet.owners.put(quiet, TestFleet.node(1));
    fleet.nodes.get(TestFleet.node(1)).ownershipChanged(fleet.now);
    double[] usage = new double[TEAMS + 1];
    runFor(fleet, open, usage, 1_000, QUIET_TEAM);
    Arrays.fill(usage, 0);
    fleet.ownershipChanged();
    runFor(fleet, open, usage, 7_000, QUIET_TEAM);
    assertTrue(gap(usage) <= MAX_GAP, Arrays.toString(usage));
  }

  private static double gap(double[] usage) {
    double[] sorted = Arrays.copyOfRange(usage, 1, usage.length);
    Arrays.sort(sorted);
    return sorted[sorted.length - 1] - sorted[0];
  }

  private static void runFor(
      TestFleet fleet, List<Attempt> open, double[] usage, int millis, int firstTeam) {
    for (int i = 0; i < millis / TICK_MILLIS; i++) {
      for (int team = firstTeam; team <= TEAMS; team++) {
        keepWaiting(fleet, open, team);
      }
      fleet.run(TICK_MILLIS);
      if (i * TICK_MILLIS % REPORT_MILLIS == 0) {
        fleet.reportUsage();
      }
      for (Attempt attempt : List.copyOf(open)) {
        if (attempt.isOver(fleet.now)) {
          open.remove(attempt);
          usage[attempt.team] += COST;
          fleet.complete(attempt.node, attempt.answer, COST);
        }
      }
      fleet.deliverAll();
      assertTrue(fleet.inFlight(1) <= WINDOW && fleet.inFlight(2) <= WINDOW);
    }
  }

  private static void keepWaiting(TestFleet fleet, List<Attempt> open, int team) {
    int node = team == QUIET_TEAM ? 1 : 0;
    Set<UpstreamId> avoid = team == QUIET_TEAM ? Set.of(UpstreamId.of(1)) : Set.of();
    long waiting =
        open.stream()
            .filter(attempt -> attempt.team == team && attempt.answer.grant == null)
            .count();
    for (long i = waiting; i < TICKETS_KEPT_WAITING; i++) {
      open.add(new Attempt(node, team, fleet.submit(node, team, avoid, 60_000)));
    }
    fleet.deliverAll();
  }

  /** Ticket of a team and, once it is granted, its attempt on an engine. */
  private static final class Attempt {
    private final int node;
    private final int team;
    private final Answer answer;
    private long startedNanos;

    Attempt(int node, int team, Answer answer) {
      this.node = node;
      this.team = team;
      this.answer = answer;
    }

    boolean isOver(long nowNanos) {
      if (answer.grant == null) {
        return false;
      }
      startedNanos = startedNanos == 0 ? nowNanos : startedNanos;
      return nowNanos - startedNanos >= RUN_MILLIS * TestFleet.NANOS_PER_MILLI;
    }
  }
}
