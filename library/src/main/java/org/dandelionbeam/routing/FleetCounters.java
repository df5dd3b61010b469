package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;

/**
 * Amounts that are summed over routers.
 *
 * @param usage decayed cost of the granted requests, by number of the team
 * @param demand decayed cost of the requests that callers sent, by number of the team
 * @param retries requests and retries in the window of the retry budget, by number of the service
 * @param crashes crashes of upstreams, by suspect in the requests that ran on them
 */
public record FleetCounters(
    Map<Integer, Double> usage,
    Map<Integer, Double> demand,
    Map<Integer, RetryCounts> retries,
    Map<Suspect, CrashCounts> crashes) {

  /** Counters of a router without requests. */
  public static final FleetCounters NONE =
      new FleetCounters(Map.of(), Map.of(), Map.of(), Map.of());

  /** Copies the maps. */
  public FleetCounters {
    usage = Map.copyOf(requireNonNull(usage, "usage"));
    demand = Map.copyOf(requireNonNull(demand, "demand"));
    retries = Map.copyOf(requireNonNull(retries, "retries"));
    crashes = Map.copyOf(requireNonNull(crashes, "crashes"));
  }

  /**
   * Returns the counters with usage and demand that have decayed further.
   *
   * @param factor remaining part of them, 0 to 1
   * @return the counters; the counts of retries and crashes are the same
   */
  public FleetCounters decayed(double factor) {
    return new FleetCounters(scaled(usage, factor), scaled(demand, factor), retries, crashes);
  }

  private static Map<Integer, Double> scaled(Map<Integer, Double> amounts, double factor) {
    Map<Integer, Double> scaled = new HashMap<>();
    amounts.forEach((team, amount) -> scaled.put(team, amount * factor));
    return scaled;
  }

  /**
   * Subtracts counters that are part of these.
   *
   * @param part counters to subtract
   * @return the difference, without negative amounts; the counts of crashes are the same
   */
  public FleetCounters minus(FleetCounters part) {
    Map<Integer, RetryCounts> otherRetries = new HashMap<>();
    retries.forEach(
        (service, counts) ->
            otherRetries.put(
                service, counts.minus(part.retries.getOrDefault(service, RetryCounts.NONE))));
    return new FleetCounters(
        difference(usage, part.usage), difference(demand, part.demand), otherRetries, crashes);
  }

  private static Map<Integer, Double> difference(
      Map<Integer, Double> amounts, Map<Integer, Double> part) {
    Map<Integer, Double> rest = new HashMap<>();
    amounts.forEach(
        (team, amount) -> {
          double remaining = amount - part.getOrDefault(team, 0.0);
          if (remaining > 0) {
            rest.put(team, remaining);
          }
        });
    return rest;
  }

  /** Adds up counters. */
  public static final class Sum {
    private final Map<Integer, Double> usage = new HashMap<>();
    private final Map<Integer, Double> demand = new HashMap<>();
    private final Map<Integer, RetryCounts> retries = new HashMap<>();
    private final Map<Suspect, CrashCounts> crashes = new HashMap<>();

    /**
     * Adds counters.
     *
     * @param counters counters to add
     */
    public void add(FleetCounters counters) {
      counters.usage.forEach((team, amount) -> usage.merge(team, amount, Double::sum));
      counters.demand.forEach((team, amount) -> demand.merge(team, amount, Double::sum));
      counters.retries.forEach(
          (service, counts) -> retries.merge(service, counts, RetryCounts::plus));
      counters.crashes.forEach(
          (suspect, counts) -> crashes.merge(suspect, counts, CrashCounts::plus));
    }

    /**
     * Returns the sum.
     *
     * @return sum of all added counters; of crashes, those of the suspects with most of them
     */
    public FleetCounters total() {
      return new FleetCounters(usage, demand, retries, CrashCounts.mostCrashes(crashes));
    }
  }
}
