package org.dandelionbeam.daemon.bench;

import java.io.PrintStream;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;

/**
 * Benchmark of fair dispatch: 8 routers, 12 engines and 15 teams in simulated time.
 *
 * <p>The gap is the largest difference in usage of two backlogged teams. Its bound is the sum over
 * the engines of the largest cost that one team had in flight there, plus the capacity times one
 * report interval.
 */
public final class FairnessBench {
  private static final int TEAMS = 15;
  private static final int LARGE_TEAMS = 3;
  private static final int FLOODING_TEAM = 3;
  private static final double FLOOD_DEMAND = 100;
  private static final Duration DURATION = Duration.ofMinutes(5);

  private FairnessBench() {}

  /**
   * Prints the figures of all scenarios.
   *
   * @param args seeds, one run each; 1 to 3 if there are none
   */
  public static void main(String[] args) {
    long[] seeds =
        args.length == 0
            ? new long[] {1, 2, 3}
            : Arrays.stream(args).mapToLong(Long::parseLong).toArray();
    for (Scenario scenario : scenarios()) {
      for (long seed : seeds) {
        compare(scenario, seed, System.out);
      }
    }
    DecisionCost.print(System.out);
  }

  private static List<Scenario> scenarios() {
    return List.of(
        new Scenario("all backlogged", even(3), 0.8, 2, 0, false),
        new Scenario("flood", flood(), 0.8, 2, 0, false),
        new Scenario("flood, hints wrong by ten", flood(), 0.8, 10, 0, false),
        new Scenario("flood, 30 % of reports lost", flood(), 0.8, 2, 0.3, false),
        new Scenario("flood, homes lost and rebuilt", flood(), 0.8, 2, 0, true),
        new Scenario("uneven tenants, load 1.1", uneven(4, 0.4), 1, 2, 0, false),
        new Scenario("uneven tenants, load 0.7", uneven(2.4, 0.25), 1, 2, 0, false));
  }

  private static void compare(Scenario scenario, long seed, PrintStream out) {
    RunResult fleet = run(scenario, Topology.FLEET, seed);
    RunResult central = run(scenario, Topology.CENTRAL, seed);
    RunResult alone = run(scenario, Topology.ALONE, seed);
    out.printf(
        "%s, seed %d: gap %.0f of %.0f allowed (central %.0f, alone %.0f); idle %.2f %%"
            + " (alone %.1f %%); throughput %.1f %% of central (alone %.1f %%);"
            + " longest wait of the smallest team %.2f s, %.2f of its fair wait (central %.2f);"
            + " %.1f batches and %.1f lines a request%n",
        scenario.name(),
        seed,
        fleet.maxUsageGap(),
        fleet.usageGapBound(),
        central.maxUsageGap(),
        alone.maxUsageGap(),
        percent(fleet.idleShare()),
        percent(alone.idleShare()),
        percent(fleet.throughput() / central.throughput()),
        percent(alone.throughput() / central.throughput()),
        fleet.smallestTeamWaitSeconds(),
        fleet.smallestTeamWaitRatio(),
        central.smallestTeamWaitRatio(),
        fleet.batchesPerRequest(),
        fleet.messagesPerRequest());
  }

  private static RunResult run(Scenario scenario, Topology topology, long seed) {
    return new FairnessSimulation(scenario, topology, seed, DURATION).run();
  }

  private static double percent(double share) {
    final double hundred = 100;
    return hundred * share;
  }

  private static double[] even(double demand) {
    double[] all = new double[TEAMS];
    Arrays.fill(all, demand);
    return all;
  }

  /** Returns the demand of three large teams, one that floods, and small ones below their share. */
  private static double[] flood() {
    double[] demand = even(0.5);
    Arrays.fill(demand, 0, LARGE_TEAMS, 4);
    demand[FLOODING_TEAM] = FLOOD_DEMAND;
    demand[TEAMS - 1] = 0.1;
    return demand;
  }

  private static double[] uneven(double large, double small) {
    double[] demand = even(small);
    Arrays.fill(demand, 0, LARGE_TEAMS, large);
    return demand;
  }
}
