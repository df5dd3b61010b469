package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares what each team got over the last seconds with what it could claim beside the others.
 *
 * <p>In each second a team can claim what it asked for or what the best served team got, whichever
 * is less. Not thread-safe.
 */
public final class TeamShareMonitor {
  /** Interval between two samples. */
  public static final Duration SAMPLE_INTERVAL = Duration.ofSeconds(1);

  private static final int SAMPLES = 6;

  private final TeamUsage usage;
  private final Deque<Sample> samples = new ArrayDeque<>();

  private TeamShareMonitor(TeamUsage usage) {
    this.usage = requireNonNull(usage, "usage");
  }

  /**
   * Creates a monitor without samples.
   *
   * @param usage usage and demand of the teams
   * @return the monitor
   */
  public static TeamShareMonitor of(TeamUsage usage) {
    return new TeamShareMonitor(usage);
  }

  /** Demand and usage per second by number of the team. */
  private record Sample(Map<Integer, Double> demand, Map<Integer, Double> usage) {
    double demandOf(int team) {
      return TeamUsage.perSecond(demand.getOrDefault(team, 0.0));
    }

    double usageOf(int team) {
      return TeamUsage.perSecond(usage.getOrDefault(team, 0.0));
    }
  }

  /**
   * What a team got over the samples.
   *
   * @param team the team
   * @param asked cost of the requests that its callers sent
   * @param claimed part of it that the team could claim beside the best served one
   * @param got cost of the granted requests
   */
  public record TeamShare(TeamName team, long asked, long claimed, long got) {

    /**
     * Returns the part of its claim that the team got.
     *
     * @return 1 or more if it got all; 1 if it claimed nothing
     */
    public double ratio() {
      return claimed == 0 ? 1 : (double) got / claimed;
    }

    @Override
    public String toString() {
      return team + " asked=" + asked + " claimed=" + claimed + " got=" + got;
    }
  }

  /**
   * Adds a sample; to be called once in {@link #SAMPLE_INTERVAL}.
   *
   * @param nowNanos monotonic time
   */
  public void sample(long nowNanos) {
    samples.addLast(new Sample(usage.demandByTeam(nowNanos), usage.usageByTeam(nowNanos)));
    if (samples.size() > SAMPLES) {
      samples.removeFirst();
    }
  }

  /**
   * Returns the shares of teams over the samples.
   *
   * @param teams the teams to look at
   * @return shares of the teams that claimed something, the least served first
   */
  public List<TeamShare> shares(Collection<TeamName> teams) {
    int best = bestServed();
    return teams.stream()
        .map(team -> shareOf(team, best))
        .filter(share -> share.claimed > 0)
        .sorted(Comparator.comparingDouble(TeamShare::ratio))
        .toList();
  }

  private int bestServed() {
    Map<Integer, Double> got = new HashMap<>();
    samples.forEach(sample -> sample.usage.forEach((team, u) -> got.merge(team, u, Double::sum)));
    return got.entrySet().stream()
        .max(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey)
        .orElse(0);
  }

  private TeamShare shareOf(TeamName team, int best) {
    double asked = 0;
    double claimed = 0;
    double got = 0;
    for (Sample sample : samples) {
      double demand = sample.demandOf(team.number());
      asked += demand;
      claimed += Math.min(demand, sample.usageOf(best));
      got += sample.usageOf(team.number());
    }
    return new TeamShare(team, (long) asked, (long) claimed, (long) got);
  }
}
