package org.dandelionbeam.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What teams asked for and got in each tenth of a second of a virtual run, and by how much the
 * shares were missed.
 */
final class FairnessRecord {
  private static final int SLOT_MS = 100;
  private static final int SLOTS_PER_SECOND = 10;
  private static final int WINDOW_SECONDS = 6;

  /** A team that gets less than this part of its claim is served unfairly. */
  private static final double UNFAIR_SHARE = 0.5;

  /** So many of the largest requests may be missing in a window. */
  private static final int TOLERATED_REQUESTS = 3;

  private final Map<String, Map<Integer, Long>> asked = new HashMap<>();
  private final Map<String, Map<Integer, Long>> got = new HashMap<>();
  private final Map<String, Set<Integer>> waited = new HashMap<>();
  private long largestRequest;
  private int lastSlot;

  private static int slotOf(long ms) {
    return (int) (ms / SLOT_MS);
  }

  private static void add(
      Map<String, Map<Integer, Long>> tokens, String team, int slot, long amount) {
    tokens.computeIfAbsent(team, key -> new HashMap<>()).merge(slot, amount, Long::sum);
  }

  void recordAsked(String team, long tokens, long ms) {
    add(asked, team, slotOf(ms), tokens);
    largestRequest = Math.max(largestRequest, tokens);
    lastSlot = Math.max(lastSlot, slotOf(ms));
  }

  void recordBegun(String team, long tokens, long ms) {
    add(got, team, slotOf(ms), tokens);
  }

  /** Records that a request of the team was refused or was late. */
  void recordWaited(String team, long ms) {
    waited.computeIfAbsent(team, key -> new TreeSet<>()).add(slotOf(ms));
  }

  /**
   * A team in a window.
   *
   * @param team name of the team
   * @param endMs end of the window
   * @param claimed tokens that the team could claim
   * @param got tokens of its requests that began
   * @param margin tokens that could still have been missing
   */
  record Share(String team, long endMs, long claimed, long got, long margin) {}

  /** Returns the share with the smallest margin, of teams that waited in each second. */
  Share worst() {
    Share worst = new Share("none", 0, 0, 0, Long.MAX_VALUE);
    int window = WINDOW_SECONDS * SLOTS_PER_SECOND;
    for (int end = window; end <= lastSlot; end++) {
      for (String team : asked.keySet()) {
        if (waitedAllThrough(team, end - window)) {
          Share share = share(team, end - window, end);
          worst = share.margin < worst.margin ? share : worst;
        }
      }
    }
    return worst;
  }

  private boolean waitedAllThrough(String team, int start) {
    Set<Integer> slots = waited.getOrDefault(team, Set.of());
    for (int second = 0; second < WINDOW_SECONDS; second++) {
      int from = start + second * SLOTS_PER_SECOND;
      if (slots.stream().noneMatch(slot -> slot >= from && slot < from + SLOTS_PER_SECOND)) {
        return false;
      }
    }
    return true;
  }

  private static long sum(Map<Integer, Long> tokens, int from, int to) {
    long sum = 0;
    for (int slot = from; slot < to; slot++) {
      sum += tokens.getOrDefault(slot, 0L);
    }
    return sum;
  }

  private Share share(String team, int start, int end) {
    List<Map<Integer, Long>> others = new ArrayList<>(got.values());
    Map<Integer, Long> best =
        others.stream()
            .max((a, b) -> Long.compare(sum(a, start, end), sum(b, start, end)))
            .orElse(Map.of());
    Map<Integer, Long> own = got.getOrDefault(team, Map.of());
    long claimed = 0;
    for (int from = start; from < end; from += SLOTS_PER_SECOND) {
      int to = from + SLOTS_PER_SECOND;
      claimed += Math.min(sum(asked.get(team), from, to), sum(best, from, to));
    }
    long begun = sum(own, start, end);
    long margin = begun - (long) (UNFAIR_SHARE * claimed) + TOLERATED_REQUESTS * largestRequest;
    return new Share(team, end * SLOT_MS, claimed, begun, margin);
  }
}
