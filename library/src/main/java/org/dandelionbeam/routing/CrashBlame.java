package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds the parts of prompts under which engines crash, so that requests with such a part are
 * refused.
 *
 * <p>Evidence against a part is the number of crashes under requests with it; evidence for it is a
 * request with it that was served since. A crash under a blamed part is no evidence against other
 * parts. Counts are summed over all routers. Not thread-safe.
 */
public final class CrashBlame {
  /** Crashes after which a part is blamed, if no other part has as many. */
  private static final int MIN_CRASHES = 3;

  /** Crashes after which parts are blamed although others have as many. */
  private static final int MIN_CRASHES_OF_EQUALS = 5;

  /** Crashes after which a part is blamed that was served before them. */
  private static final int MIN_CRASHES_OF_SERVED = 6;

  /** Crashes after which requests with the part are not sent to a further upstream. */
  private static final int SUSPICIOUS_CRASHES = 2;

  /**
   * Time between the first and the last crash under a part that was served before them: upstreams
   * that are lost together show nothing about the prompts that ran on them.
   */
  private static final Duration MIN_SPREAD = Duration.ofSeconds(2);

  private static final Duration CRASH_MAX_AGE = Duration.ofSeconds(60);
  private static final Duration SERVED_MAX_AGE = Duration.ofMinutes(10);

  /** Time for which requests with a blamed part are refused. */
  private static final Duration HOLD_TIME = Duration.ofMinutes(10);

  /** Routers stop reporting a blame within this time after it has ended. */
  private static final Duration FORGIVEN_TIME = Duration.ofMinutes(1);

  /** Time in which all routers learn of a blame and no longer count the crashes under it. */
  private static final Duration SETTLING_TIME = Duration.ofSeconds(1);

  private static final int MAX_CRASHES = 64;
  private static final int MAX_PARTS = 64;
  private static final int MAX_SERVED_PARTS = 8_192;
  private static final float LOAD_FACTOR = 0.75f;

  private final Deque<Crash> crashes = new ArrayDeque<>();
  private final Map<Long, Long> blamedUntilNanos = new LinkedHashMap<>();
  private final Map<Long, Long> servedNanos =
      new LinkedHashMap<>(MAX_PARTS, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_SERVED_PARTS;
        }
      };

  private Map<Long, CrashCounts> total = Map.of();
  private long settledNanos = Long.MIN_VALUE;

  private CrashBlame() {}

  /**
   * Creates a record without crashes.
   *
   * @return the record
   */
  public static CrashBlame create() {
    return new CrashBlame();
  }

  /** The suspected parts of the requests that ran on a crashed upstream. */
  private record Crash(Set<Long> parts, long atNanos) {}

  /**
   * Records a crash of an upstream.
   *
   * @param suspects prompts that it had just begun to answer, or not yet
   * @param nowNanos monotonic time
   */
  public void recordCrash(Collection<PromptProfile> suspects, long nowNanos) {
    Set<Long> parts = new HashSet<>();
    suspects.forEach(prompt -> prompt.sharedParts().forEach(part -> parts.add(part.hash())));
    if (parts.isEmpty() || parts.stream().anyMatch(part -> isBlamed(part, nowNanos))) {
      return;
    }
    crashes.addLast(new Crash(parts, nowNanos));
    if (crashes.size() > MAX_CRASHES) {
      crashes.removeFirst();
    }
  }

  /**
   * Records that an upstream has served a request, which speaks for all parts of its prompt.
   *
   * @param prompt prompt of the request
   * @param nowNanos monotonic time
   */
  public void recordServed(PromptProfile prompt, long nowNanos) {
    for (PromptProfile.Part part : prompt.sharedParts()) {
      servedNanos.put(part.hash(), nowNanos);
      crashes.forEach(crash -> crash.parts.remove(part.hash()));
    }
  }

  /**
   * Returns what this router has seen of parts under which upstreams crashed, here or elsewhere.
   *
   * @param nowNanos monotonic time
   * @return counts by hash of the part, of the parts with most crashes
   */
  public Map<Long, CrashCounts> localCounts(long nowNanos) {
    if (crashes.isEmpty() && total.isEmpty()) {
      return Map.of();
    }
    crashes.removeIf(
        crash ->
            crash.parts.isEmpty() || age(crash.atNanos, nowNanos).compareTo(CRASH_MAX_AGE) > 0);
    Map<Long, CrashCounts> counts = new HashMap<>();
    for (Crash crash : crashes) {
      Duration age = age(crash.atNanos, nowNanos);
      CrashCounts one = new CrashCounts(1, age, age, CrashCounts.NEVER);
      crash.parts.forEach(part -> counts.merge(part, one, CrashCounts::plus));
    }
    total.keySet().forEach(part -> counts.putIfAbsent(part, CrashCounts.NONE));
    counts.replaceAll((part, count) -> count.plus(served(part, nowNanos)));
    counts.values().removeIf(count -> count.equals(CrashCounts.NONE));
    return mostCrashes(counts);
  }

  private CrashCounts served(long part, long nowNanos) {
    Long at = servedNanos.get(part);
    Duration age = at == null ? CrashCounts.NEVER : age(at, nowNanos);
    boolean lately = age.compareTo(SERVED_MAX_AGE) <= 0;
    return new CrashCounts(0, Duration.ZERO, CrashCounts.NEVER, lately ? age : CrashCounts.NEVER);
  }

  private static Map<Long, CrashCounts> mostCrashes(Map<Long, CrashCounts> counts) {
    if (counts.size() <= MAX_PARTS) {
      return counts;
    }
    List<Map.Entry<Long, CrashCounts>> sorted = new ArrayList<>(counts.entrySet());
    sorted.sort((a, b) -> Integer.compare(b.getValue().crashes(), a.getValue().crashes()));
    Map<Long, CrashCounts> most = new HashMap<>();
    sorted.subList(0, MAX_PARTS).forEach(entry -> most.put(entry.getKey(), entry.getValue()));
    return most;
  }

  /**
   * Records the counts of all routers.
   *
   * @param counts sum over the routers, with this one, by hash of the part
   * @param nowNanos monotonic time
   */
  public void recordTotal(Map<Long, CrashCounts> counts, long nowNanos) {
    total = Map.copyOf(counts);
    counts.forEach(
        (part, count) -> {
          long servedAtNanos = nowNanos - count.servedAge().toNanos();
          crashes.stream()
              .filter(crash -> crash.atNanos <= servedAtNanos)
              .forEach(crash -> crash.parts.remove(part));
        });
  }

  /**
   * Blames the part with most crashes, if they suffice.
   *
   * @param nowNanos monotonic time
   * @return hashes of the parts that are blamed from now on
   */
  public List<Long> blameNext(long nowNanos) {
    boolean settling = settledNanos != Long.MIN_VALUE && nowNanos - settledNanos < 0;
    if (settling || (crashes.isEmpty() && total.isEmpty())) {
      return List.of();
    }
    Map<Long, CrashCounts> guilty = new HashMap<>(counts(nowNanos));
    guilty.entrySet().removeIf(e -> isBlamed(e.getKey(), nowNanos) || !suffices(e.getValue()));
    int most = guilty.values().stream().mapToInt(CrashCounts::crashes).max().orElse(0);
    guilty.values().removeIf(count -> count.crashes() < most);
    if (guilty.isEmpty() || (guilty.size() > 1 && most < MIN_CRASHES_OF_EQUALS)) {
      return List.of();
    }
    guilty.keySet().forEach(part -> blame(part, nowNanos + HOLD_TIME.toNanos(), nowNanos));
    return List.copyOf(guilty.keySet());
  }

  /** Returns the larger of what this router and what all routers have counted. */
  private Map<Long, CrashCounts> counts(long nowNanos) {
    Map<Long, CrashCounts> counts = new HashMap<>(total);
    localCounts(nowNanos)
        .forEach(
            (part, own) -> counts.merge(part, own, (a, b) -> a.crashes() > b.crashes() ? a : b));
    return counts;
  }

  private static boolean suffices(CrashCounts count) {
    if (count.isServedSince()) {
      return false;
    }
    if (count.servedAge().equals(CrashCounts.NEVER)) {
      return count.crashes() >= MIN_CRASHES;
    }
    Duration spread = count.firstAge().minus(count.lastAge());
    return count.crashes() >= MIN_CRASHES_OF_SERVED && spread.compareTo(MIN_SPREAD) >= 0;
  }

  private void blame(long part, long untilNanos, long nowNanos) {
    if (blamedUntilNanos.size() >= MAX_PARTS) {
      blamedUntilNanos.remove(blamedUntilNanos.keySet().iterator().next());
    }
    blamedUntilNanos.put(part, untilNanos);
    crashes.removeIf(crash -> crash.parts.contains(part));
    settledNanos = nowNanos + SETTLING_TIME.toNanos();
  }

  /**
   * Returns the blamed parts.
   *
   * @param nowNanos monotonic time
   * @return time until the blame ends, by hash of the part
   */
  public Map<Long, Duration> blamed(long nowNanos) {
    blamedUntilNanos.values().removeIf(until -> nowNanos - until > FORGIVEN_TIME.toNanos());
    Map<Long, Duration> blamed = new HashMap<>();
    blamedUntilNanos.forEach(
        (part, until) -> {
          if (nowNanos - until < 0) {
            blamed.put(part, Duration.ofNanos(until - nowNanos));
          }
        });
    return blamed;
  }

  /**
   * Takes over the parts that another router blames.
   *
   * @param parts time until the blame ends, by hash of the part
   * @param nowNanos monotonic time
   * @return hashes of the parts that were not known to be blamed
   */
  public List<Long> recordBlamed(Map<Long, Duration> parts, long nowNanos) {
    List<Long> added = new ArrayList<>();
    parts.forEach(
        (part, remaining) -> {
          if (!blamedUntilNanos.containsKey(part)) {
            Duration bounded = remaining.compareTo(HOLD_TIME) > 0 ? HOLD_TIME : remaining;
            blame(part, nowNanos + bounded.toNanos(), nowNanos);
            added.add(part);
          }
        });
    return added;
  }

  private boolean isBlamed(long part, long nowNanos) {
    Long until = blamedUntilNanos.get(part);
    return until != null && nowNanos - until < 0;
  }

  /**
   * Tells whether a prompt has a blamed part.
   *
   * @param prompt the prompt
   * @param nowNanos monotonic time
   * @return time until the blame ends, empty if none of its parts is blamed
   */
  public Optional<Duration> remainingBlame(PromptProfile prompt, long nowNanos) {
    if (blamedUntilNanos.isEmpty()) {
      return Optional.empty();
    }
    return prompt.sharedParts().stream()
        .filter(part -> isBlamed(part.hash(), nowNanos))
        .map(part -> Duration.ofNanos(blamedUntilNanos.get(part.hash()) - nowNanos))
        .max(Duration::compareTo);
  }

  /**
   * Tells whether a prompt has a part that may crash the next engine too, so that a request whose
   * upstream crashed is not repeated.
   *
   * @param prompt the prompt
   * @param nowNanos monotonic time
   * @return true if a part is blamed or upstreams have crashed under it without serving it since
   */
  public boolean isSuspicious(PromptProfile prompt, long nowNanos) {
    if (remainingBlame(prompt, nowNanos).isPresent()) {
      return true;
    }
    Map<Long, CrashCounts> counts = counts(nowNanos);
    return prompt.sharedParts().stream()
        .map(part -> counts.getOrDefault(part.hash(), CrashCounts.NONE))
        .anyMatch(count -> count.crashes() >= SUSPICIOUS_CRASHES && !count.isServedSince());
  }

  private static Duration age(long atNanos, long nowNanos) {
    return Duration.ofNanos(nowNanos - atNanos);
  }
}
