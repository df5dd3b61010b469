package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

/**
 * Crashes of upstreams under requests with one suspect, summed over routers.
 *
 * @param crashes number of crashes
 * @param firstAge time since the first of them
 * @param lastAge time since the last of them, {@link #NEVER} without crashes
 * @param servedAge time since a request with the suspect was served, {@link #NEVER} if none was
 *     lately
 */
public record CrashCounts(int crashes, Duration firstAge, Duration lastAge, Duration servedAge) {

  /** Suspects of one kind that a router reports or knows of. */
  private static final int MAX_SUSPECTS = 64;

  private static final Comparator<CrashCounts> MOST_CRASHES_FIRST =
      Comparator.comparingInt(CrashCounts::crashes).reversed().thenComparing(CrashCounts::lastAge);

  /** Age of what has not happened lately. */
  public static final Duration NEVER = Duration.ofDays(1);

  /** No crash and no request served. */
  public static final CrashCounts NONE = new CrashCounts(0, Duration.ZERO, NEVER, NEVER);

  /**
   * Adds the counts of other routers.
   *
   * @param other counts to add
   * @return the sum
   */
  public CrashCounts plus(CrashCounts other) {
    return new CrashCounts(
        crashes + other.crashes,
        longer(firstAge, other.firstAge),
        shorter(lastAge, other.lastAge),
        shorter(servedAge, other.servedAge));
  }

  /**
   * Returns the counts of a bounded number of suspects, so that messages stay short when many
   * upstreams are lost at once.
   *
   * @param counts counts by suspect
   * @return of each kind those with most crashes, and of these the latest
   */
  static Map<Suspect, CrashCounts> mostCrashes(Map<Suspect, CrashCounts> counts) {
    if (counts.size() <= MAX_SUSPECTS) {
      return counts;
    }
    Map<Suspect, CrashCounts> most = new HashMap<>();
    for (Suspect.Kind kind : Suspect.Kind.values()) {
      counts.entrySet().stream()
          .filter(entry -> entry.getKey().kind() == kind)
          .sorted(Map.Entry.comparingByValue(MOST_CRASHES_FIRST))
          .limit(MAX_SUSPECTS)
          .forEach(entry -> most.put(entry.getKey(), entry.getValue()));
    }
    return most;
  }

  /** Tells whether a request with the suspect was served after the first of the crashes. */
  boolean isServedSince() {
    return servedAge.compareTo(firstAge) <= 0;
  }

  private static Duration longer(Duration a, Duration b) {
    return a.compareTo(b) >= 0 ? a : b;
  }

  private static Duration shorter(Duration a, Duration b) {
    return a.compareTo(b) <= 0 ? a : b;
  }
}
