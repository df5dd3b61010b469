package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.Map;

/**
 * Tracks the recent usage of each team and what it asked for, at this router and at all others.
 *
 * <p>Usage is the cost of the requests that were granted to a team, demand the cost of those that
 * its callers sent. Both decay, so that a team that was idle for long gets no lasting precedence.
 * Not thread-safe.
 */
public final class TeamUsage {
  /**
   * Gives teams their shares within a few seconds. With a longer half-life, a team that used the
   * engines alone would get less than its share for long after another team starts.
   */
  private static final Duration HALF_LIFE = Duration.ofMillis(600);

  /** The sums change little within this time, which spans many decisions. */
  private static final Duration SUMMARY_MAX_AGE = Duration.ofMillis(50);

  private static final double NANOS_PER_SECOND = 1e9;

  private final TeamAmounts usage = new TeamAmounts(HALF_LIFE);
  private final TeamAmounts demand = new TeamAmounts(HALF_LIFE);

  private double mean;
  private double most;
  private long summaryAtNanos;

  private TeamUsage() {}

  /**
   * Creates a record without usage.
   *
   * @return the record
   */
  public static TeamUsage create() {
    return new TeamUsage();
  }

  /**
   * Returns the part of the usage that remains after some time.
   *
   * @param elapsedNanos the time in nanoseconds
   * @return 0 to 1
   */
  public static double decay(long elapsedNanos) {
    return new DecayingAmount(1, 0, HALF_LIFE).valueAt(Math.max(0, elapsedNanos));
  }

  /**
   * Returns the cost per second that keeps a decaying amount constant.
   *
   * @param amount decayed usage or demand
   * @return cost per second
   */
  static double perSecond(double amount) {
    return amount * Math.log(2) * NANOS_PER_SECOND / HALF_LIFE.toNanos();
  }

  /**
   * Records usage that this router grants to a team.
   *
   * @param team the team
   * @param cost cost of the request
   * @param nowNanos monotonic time
   */
  public void recordUsage(TeamName team, double cost, long nowNanos) {
    usage.record(team, cost, nowNanos);
  }

  /**
   * Records a request that a caller of this router sends for a team.
   *
   * @param team the team
   * @param cost cost of the request
   * @param nowNanos monotonic time
   */
  public void recordDemand(TeamName team, double cost, long nowNanos) {
    demand.record(team, cost, nowNanos);
  }

  /**
   * Replaces what all other routers granted and were asked for.
   *
   * @param counters counters of the other routers
   * @param nowNanos monotonic time
   */
  public void recordOthers(FleetCounters counters, long nowNanos) {
    usage.recordOthers(counters.usage(), nowNanos);
    demand.recordOthers(counters.demand(), nowNanos);
  }

  /**
   * Returns the recent usage of a team.
   *
   * @param team the team
   * @param nowNanos monotonic time
   * @return decayed cost, summed over all routers
   */
  public double usageOf(TeamName team, long nowNanos) {
    return usage.totalOf(team, nowNanos);
  }

  /**
   * Returns the usage of a team relative to the mean of all teams with recent usage.
   *
   * @param team the team
   * @param nowNanos monotonic time
   * @return 1 for a team with mean usage; 0 if no team has usage
   */
  public double relativeToMean(TeamName team, long nowNanos) {
    refreshSummary(nowNanos);
    return mean <= 0 ? 0 : usageOf(team, nowNanos) / mean;
  }

  /**
   * Returns the usage of a team relative to that of the team with most recent usage.
   *
   * @param team the team
   * @param nowNanos monotonic time
   * @return 1 for the team with most usage; 0 if no team has usage
   */
  public double relativeToMost(TeamName team, long nowNanos) {
    refreshSummary(nowNanos);
    return most <= 0 ? 0 : usageOf(team, nowNanos) / most;
  }

  private void refreshSummary(long nowNanos) {
    if (nowNanos - summaryAtNanos <= SUMMARY_MAX_AGE.toNanos() && summaryAtNanos != 0) {
      return;
    }
    Map<Integer, Double> all = usage.totals(nowNanos);
    mean = all.values().stream().mapToDouble(Double::doubleValue).average().orElse(0);
    most = all.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
    summaryAtNanos = nowNanos;
  }

  /**
   * Returns the usage of all teams.
   *
   * @param nowNanos monotonic time
   * @return decayed cost by number of the team, summed over all routers
   */
  public Map<Integer, Double> usageByTeam(long nowNanos) {
    return usage.totals(nowNanos);
  }

  /**
   * Returns the demand of all teams.
   *
   * @param nowNanos monotonic time
   * @return decayed cost by number of the team, summed over all routers
   */
  public Map<Integer, Double> demandByTeam(long nowNanos) {
    return demand.totals(nowNanos);
  }

  /**
   * Returns the usage that this router granted, and drops teams whose usage has decayed to less
   * than 1.
   *
   * @param nowNanos monotonic time
   * @return decayed cost by number of the team
   */
  public Map<Integer, Double> localUsage(long nowNanos) {
    return usage.local(nowNanos);
  }

  /**
   * Returns the demand of this router's callers, and drops teams whose demand has decayed to less
   * than 1.
   *
   * @param nowNanos monotonic time
   * @return decayed cost by number of the team
   */
  public Map<Integer, Double> localDemand(long nowNanos) {
    return demand.local(nowNanos);
  }
}
