package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * How much service each team got lately, at this router and at its peers.
 *
 * <p>Service fades, so that a team's idle time earns no lasting claim. Not thread-safe.
 */
public final class TeamUsage {
  /**
   * Teams have their share in each few seconds. A longer memory would make a team that was alone
   * pay for it when another one comes.
   */
  private static final Duration HALF_LIFE = Duration.ofMillis(600);

  private static final Duration PEER_REPORT_MAX_AGE = Duration.ofSeconds(2);

  /** The sums change slowly against the time between two decisions. */
  private static final Duration SUMMARY_MAX_AGE = Duration.ofMillis(50);

  private final Map<Integer, DecayingAmount> localUsage = new HashMap<>();
  private final Map<RouterName, Report> peers = new HashMap<>();

  private double mean;
  private double largest;
  private long summaryAtNanos;

  private TeamUsage() {}

  /**
   * Returns a record without service.
   *
   * @return the record
   */
  public static TeamUsage create() {
    return new TeamUsage();
  }

  /**
   * Notes service that a team gets here.
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
   * Takes the report of a peer.
   *
   * @param peer the peer
   * @param usage faded service by number of the team
   * @param nowNanos monotonic time
   */
  public void recordPeerUsage(RouterName peer, Map<Integer, Double> usage, long nowNanos) {
    peers.put(peer, new Report(Map.copyOf(usage), nowNanos));
  }

  /**
   * Returns the service that a team got lately.
   *
   * @param team the team
   * @param nowNanos monotonic time
   * @return faded cost over all routers heard lately
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
   * Compares the service of a team with the mean of all teams that got some lately.
   *
   * @param team the team
   * @param nowNanos monotonic time
   * @return 1 for a team that got the mean; 0 if no team got any
   */
  public double relativeToMean(TeamName team, long nowNanos) {
    refreshSummary(nowNanos);
    return mean <= 0 ? 0 : usageOf(team, nowNanos) / mean;
  }

  /**
   * Compares the service of a team with that of the team that got most.
   *
   * @param team the team
   * @param nowNanos monotonic time
   * @return 0 to about 1; 1 if no team got any
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
   * Returns the service given here, to report it.
   *
   * @param nowNanos monotonic time
   * @return faded cost by number of the team
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

  /** What a peer gave, as of its last report. */
  private record Report(Map<Integer, Double> usage, long atNanos) {
    double at(int team, long nowNanos) {
      double amount = usage.getOrDefault(team, 0.0);
      return new DecayingAmount(amount, atNanos, HALF_LIFE).valueAt(nowNanos);
    }
  }
}
