package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Tracks how fast the waiting requests of each team are granted. Not thread-safe. */
final class TeamThroughput {
  /** Long compared to the time between two grants, short compared to changes of the load. */
  private static final Duration HALF_LIFE = Duration.ofMillis(800);

  private final Map<TeamName, DecayingAmount> granted = new HashMap<>();

  /** Records work that was granted to a team. */
  void recordGrant(TeamName team, double work, long nowNanos) {
    granted.merge(
        team,
        new DecayingAmount(work, nowNanos, HALF_LIFE),
        (old, added) -> old.plus(work, nowNanos));
  }

  /** Returns the work per nanosecond that was lately granted to a team. */
  double rate(TeamName team, long nowNanos) {
    DecayingAmount amount = granted.get(team);
    return amount == null ? 0 : amount.valueAt(nowNanos) * Math.log(2) / HALF_LIFE.toNanos();
  }

  /**
   * Returns the work per nanosecond that a team can get beside the others: an even part of what
   * those with less leave of the capacity.
   */
  double fairRate(TeamName team, double capacity, long nowNanos) {
    granted.values().removeIf(amount -> amount.valueAt(nowNanos) < 1);
    double[] others =
        granted.keySet().stream()
            .filter(other -> !other.equals(team))
            .mapToDouble(other -> rate(other, nowNanos))
            .sorted()
            .toArray();
    double left = capacity;
    int teams = others.length + 1;
    for (double rate : others) {
      if (rate >= left / teams) {
        break;
      }
      left -= rate;
      teams--;
    }
    return left / teams;
  }
}
