package org.dandelionbeam.daemon.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Computes the fairness gap on one service: the largest difference of weighted usage between two
 * teams over any period in which both are backlogged.
 *
 * <p>Time is divided into windows. A team is backlogged in a window if it has more open requests
 * than {@link #BACKLOG_THRESHOLD} throughout the window.
 */
final class FairnessGap {
  static final long WINDOW_NANOS = 250_000_000L;

  /** Open requests above which a team counts as backlogged. */
  static final int BACKLOG_THRESHOLD = 1;

  private final Map<String, TeamWindows> teams = new TreeMap<>();

  void onStart(MixTeam team, long nanos) {
    windowsOf(team).addOpen(nanos, 1);
  }

  void onEnd(MixTeam team, double cost, long nanos) {
    TeamWindows windows = windowsOf(team);
    windows.addOpen(nanos, -1);
    windows.usage.merge(windowIndex(nanos), cost / team.weight(), Double::sum);
  }

  /** Returns the largest gap of all pairs of teams, 0 if no two were backlogged at once. */
  double largest() {
    List<TeamWindows> all = new ArrayList<>(teams.values());
    double largest = 0;
    for (int i = 0; i < all.size(); i++) {
      for (int j = i + 1; j < all.size(); j++) {
        largest = Math.max(largest, gap(all.get(i), all.get(j)));
      }
    }
    return largest;
  }

  /** Returns the number of windows in which at least two teams were backlogged. */
  long comparedWindows() {
    long last = teams.values().stream().mapToLong(team -> team.currentWindow).max().orElse(0);
    long compared = 0;
    for (long window = 0; window < last; window++) {
      long at = window;
      compared += teams.values().stream().filter(team -> team.isBacklogged(at)).count() > 1 ? 1 : 0;
    }
    return compared;
  }

  private static double gap(TeamWindows one, TeamWindows other) {
    double difference = 0;
    double min = 0;
    double max = 0;
    double largest = 0;
    long last = Math.min(one.currentWindow, other.currentWindow);
    for (long window = 0; window < last; window++) {
      if (!one.isBacklogged(window) || !other.isBacklogged(window)) {
        difference = 0;
        min = 0;
        max = 0;
        continue;
      }
      difference += one.usageIn(window) - other.usageIn(window);
      min = Math.min(min, difference);
      max = Math.max(max, difference);
      largest = Math.max(largest, max - min);
    }
    return largest;
  }

  private static long windowIndex(long nanos) {
    return Math.max(0, nanos) / WINDOW_NANOS;
  }

  private TeamWindows windowsOf(MixTeam team) {
    return teams.computeIfAbsent(team.name(), key -> new TeamWindows());
  }

  /** Weighted usage and minimum number of open requests of one team by window. */
  private static final class TeamWindows {
    private final Map<Long, Double> usage = new HashMap<>();
    private final Map<Long, Integer> leastOpen = new HashMap<>();
    private long currentWindow;
    private int open;

    void addOpen(long nanos, int by) {
      long now = windowIndex(nanos);
      while (currentWindow < now) {
        leastOpen.merge(currentWindow, open, Math::min);
        currentWindow++;
        leastOpen.put(currentWindow, open);
      }
      open += by;
      leastOpen.merge(currentWindow, open, Math::min);
    }

    boolean isBacklogged(long at) {
      return leastOpen.getOrDefault(at, 0) > BACKLOG_THRESHOLD;
    }

    double usageIn(long at) {
      return usage.getOrDefault(at, 0.0);
    }
  }
}
