package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the recent usage of each team, at this router and at its peers.
 *
 * <p>Usage is the cost of the requests that were granted to a team. It decays, so that a team that
 * was idle for long gets no lasting precedence. Not thread-safe.
 */
public final class TeamUsage {
  /**
   * Gives teams their shares within a few seconds. With a longer half-life, a team that used the
   * engines alone would get less than its share for long after another team starts.
   */
  private static final Duration HALF_LIFE = Duration.ofMillis(600);

  private static final Duration PEER_REPORT_MAX_AGE = Duration.ofSeconds(2);

  /** The sums change little within this time, which spans many decisions. */
  private static final Duration SUMMARY_MAX_AGE = Duration.ofMillis(50);

  private final Map<Integer, DecayingAmount> localUsage = new HashMap<>();
  private final Map<RouterName, Report> peers = new HashMap<>();

  private double mean;
  private double largest;
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
   * Records usage that this router grants to a team.
   *
   * @param team the team
   * @param cost cost of the request
   * @param nowNanos monotonic time
   */
  public void recordUsage(TeamName team, double cost, long nowNanos) {
    localUsage.merge(
        numberOf(team),
        new DecayingAmount(cost, nowNanos, HALF_LIFE),
        (old, added) -> old.plus(cost, nowNanos));
  }

  /**
   * Replaces the usage reported by a peer.
   *
   * @param peer name of the peer
   * @param usage decayed cost by number of the team, a hash of its name
   * @param nowNanos monotonic time
   */
  public void recordPeerUsage(RouterName peer, Map<Integer, Double> usage, long nowNanos) {
    peers.put(peer, new Report(Map.copyOf(usage), nowNanos));
  }

  /**
   * Returns the recent usage of a team.
   *
   * @param team the team
   * @param nowNanos monotonic time
   * @return decayed cost, summed over this router and the peers that reported lately
   */
  public double usageOf(TeamName team, long nowNanos) {
    int number = numberOf(team);
    DecayingAmount local = localUsage.get(number);
    double sum = local == null ? 0 : local.valueAt(nowNanos);
    for (Report report : peers.values()) {
      if (nowNanos - report.atNanos < PEER_REPORT_MAX_AGE.toNanos()) {
        sum += report.at(number, nowNanos);
      }
    }
    return sum;
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
   * Returns the usage of a team relative to that of the team with the largest usage.
   *
   * @param team the team
   * @param nowNanos monotonic time
   * @return 0 to about 1, as the largest usage may be slightly out of date; 1 if no team has usage
   */
  public double relativeToLargest(TeamName team, long nowNanos) {
    refreshSummary(nowNanos);
    return largest <= 0 ? 1 : usageOf(team, nowNanos) / largest;
  }

  private void refreshSummary(long nowNanos) {
    if (nowNanos - summaryAtNanos <= SUMMARY_MAX_AGE.toNanos() && summaryAtNanos != 0) {
      return;
    }
    Collection<Double> all = usageByTeam(nowNanos).values();
    mean = all.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    largest = all.stream().mapToDouble(Double::doubleValue).max().orElse(0);
    summaryAtNanos = nowNanos;
  }

  private Map<Integer, Double> usageByTeam(long nowNanos) {
    Map<Integer, Double> all = new HashMap<>();
    localUsage.forEach((team, faded) -> all.merge(team, faded.valueAt(nowNanos), Double::sum));
    for (Report report : peers.values()) {
      if (nowNanos - report.atNanos < PEER_REPORT_MAX_AGE.toNanos()) {
        report
            .usage
            .keySet()
            .forEach(team -> all.merge(team, report.at(team, nowNanos), Double::sum));
      }
    }
    return all;
  }

  /**
   * Returns the usage that this router granted, and drops teams whose usage has decayed to less
   * than 1.
   *
   * @param nowNanos monotonic time
   * @return decayed cost by number of the team, a hash of its name
   */
  public Map<Integer, Double> localUsage(long nowNanos) {
    Map<Integer, Double> report = new HashMap<>();
    localUsage.values().removeIf(faded -> faded.valueAt(nowNanos) < 1);
    localUsage.forEach((team, faded) -> report.put(team, faded.valueAt(nowNanos)));
    return report;
  }

  private static int numberOf(TeamName team) {
    return team.text().hashCode();
  }

  /** Usage that a peer granted, as of its last report. */
  private record Report(Map<Integer, Double> usage, long atNanos) {
    double at(int team, long nowNanos) {
      double amount = usage.getOrDefault(team, 0.0);
      return new DecayingAmount(amount, atNanos, HALF_LIFE).valueAt(nowNanos);
    }
  }
}
