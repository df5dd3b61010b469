package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Decaying amounts by team, as recorded here and as reported by all other routers. Not thread-safe.
 */
final class TeamAmounts {
  private static final Duration OTHERS_MAX_AGE = Duration.ofSeconds(2);

  private final Duration halfLife;
  private final Map<Integer, DecayingAmount> local = new HashMap<>();
  private Map<Integer, Double> others = Map.of();
  private long othersAtNanos;

  TeamAmounts(Duration halfLife) {
    this.halfLife = requireNonNull(halfLife, "halfLife");
  }

  void record(TeamName team, double amount, long nowNanos) {
    local.merge(
        team.number(),
        new DecayingAmount(amount, nowNanos, halfLife),
        (old, added) -> old.plus(amount, nowNanos));
  }

  void recordOthers(Map<Integer, Double> amounts, long nowNanos) {
    others = Map.copyOf(amounts);
    othersAtNanos = nowNanos;
  }

  /** Returns the amount of a team over all routers. */
  double totalOf(TeamName team, long nowNanos) {
    DecayingAmount own = local.get(team.number());
    double sum = own == null ? 0 : own.valueAt(nowNanos);
    Double other = others.get(team.number());
    return other == null ? sum : sum + other * othersDecay(nowNanos);
  }

  /** Returns the amounts over all routers, by number of the team. */
  Map<Integer, Double> totals(long nowNanos) {
    Map<Integer, Double> all = new HashMap<>();
    local.forEach((team, amount) -> all.put(team, amount.valueAt(nowNanos)));
    double decay = othersDecay(nowNanos);
    others.forEach((team, amount) -> all.merge(team, amount * decay, Double::sum));
    return all;
  }

  private double othersDecay(long nowNanos) {
    long age = nowNanos - othersAtNanos;
    return age < OTHERS_MAX_AGE.toNanos() ? new DecayingAmount(1, 0, halfLife).valueAt(age) : 0;
  }

  /** Returns the amounts recorded here, and drops teams whose amount has decayed to less than 1. */
  Map<Integer, Double> local(long nowNanos) {
    local.values().removeIf(amount -> amount.valueAt(nowNanos) < 1);
    Map<Integer, Double> report = new HashMap<>();
    local.forEach((team, amount) -> report.put(team, amount.valueAt(nowNanos)));
    return report;
  }
}
