package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The crashes that schedulers have seen, by suspect, and what has been served. Not thread-safe.
 *
 * <p>A request that has crashed an upstream and crashes another one is evidence against itself
 * only: the parts of its prompt explain no more than it does.
 */
final class CrashEvidence {
  private static final Duration CRASH_MAX_AGE = Duration.ofSeconds(60);
  private static final Duration SERVED_MAX_AGE = Duration.ofMinutes(10);

  private static final int MAX_CRASHES = 64;
  private static final int MAX_SERVED = 8_192;

  /** A request that comes again within as many others is known to be served. */
  private static final int MAX_SERVED_REQUESTS = 4_096;

  private static final float LOAD_FACTOR = 0.75f;

  private final Deque<Crash> crashes = new ArrayDeque<>();
  private final Map<Suspect, Long> servedNanos = mostRecent(MAX_SERVED);

  /** Apart from the others, since most requests come once and would displace them. */
  private final Map<Suspect, Long> servedRequestNanos = mostRecent(MAX_SERVED_REQUESTS);

  private Map<Suspect, CrashCounts> total = Map.of();

  private static Map<Suspect, Long> mostRecent(int maxSize) {
    return new LinkedHashMap<>(MAX_CRASHES, LOAD_FACTOR, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<Suspect, Long> eldest) {
        return size() > maxSize;
      }
    };
  }

  /** The suspects of the requests that ran on a crashed upstream. */
  private record Crash(Set<Suspect> suspects, long atNanos) {}

  boolean isEmpty() {
    return crashes.isEmpty() && total.isEmpty();
  }

  /** Returns the suspects of a crash beneath which some requests ran. */
  Set<Suspect> suspectsOf(Collection<RequestContent> requests) {
    Set<Suspect> suspects = new HashSet<>();
    for (RequestContent request : requests) {
      boolean isKnown = request.digest().map(Suspect::of).filter(this::hasCrashed).isPresent();
      request.suspects().stream()
          .filter(suspect -> !isKnown || suspect.kind() == Suspect.Kind.REQUEST)
          .forEach(suspects::add);
    }
    return suspects;
  }

  private boolean hasCrashed(Suspect suspect) {
    return crashes.stream().anyMatch(crash -> crash.suspects.contains(suspect))
        || total.getOrDefault(suspect, CrashCounts.NONE).crashes() > 0;
  }

  void recordCrash(Set<Suspect> suspects, long nowNanos) {
    crashes.addLast(new Crash(new HashSet<>(suspects), nowNanos));
    if (crashes.size() > MAX_CRASHES) {
      crashes.removeFirst();
    }
  }

  /** Records a request that was served. */
  void recordServed(RequestContent request, long nowNanos) {
    for (Suspect suspect : request.suspects()) {
      if (suspect.kind() != Suspect.Kind.REQUEST || hasCrashed(suspect)) {
        servedNanos.put(suspect, nowNanos);
        crashes.forEach(crash -> crash.suspects.remove(suspect));
      } else {
        servedRequestNanos.put(suspect, nowNanos);
      }
    }
  }

  /** Returns when a request with the suspect was served last, as far as that is known. */
  private Optional<Long> servedNanos(Suspect suspect) {
    return Stream.of(servedNanos, servedRequestNanos)
        .flatMap(served -> Stream.ofNullable(served.get(suspect)))
        .max(Comparator.naturalOrder());
  }

  /** Forgets the crashes that a suspect explains. */
  void forgetCrashesUnder(Suspect suspect) {
    crashes.removeIf(crash -> crash.suspects.contains(suspect));
  }

  /** Returns what this router has seen of the suspects with most crashes, here or elsewhere. */
  Map<Suspect, CrashCounts> localCounts(long nowNanos) {
    if (isEmpty()) {
      return Map.of();
    }
    if (crashes.isEmpty() && servedNanos.isEmpty()) {
      return Map.of();
    }
    crashes.removeIf(
        crash ->
            crash.suspects.isEmpty() || age(crash.atNanos, nowNanos).compareTo(CRASH_MAX_AGE) > 0);
    Map<Suspect, CrashCounts> counts = new HashMap<>();
    for (Crash crash : crashes) {
      Duration age = age(crash.atNanos, nowNanos);
      CrashCounts one = new CrashCounts(1, age, age, CrashCounts.NEVER);
      crash.suspects.forEach(suspect -> counts.merge(suspect, one, CrashCounts::plus));
    }
    total.keySet().forEach(suspect -> counts.putIfAbsent(suspect, CrashCounts.NONE));
    counts.replaceAll((suspect, count) -> withServed(suspect, count, nowNanos));
    counts.values().removeIf(count -> count.equals(CrashCounts.NONE));
    return CrashCounts.mostCrashes(counts);
  }

  private CrashCounts withServed(Suspect suspect, CrashCounts count, long nowNanos) {
    Duration age = servedNanos(suspect).map(at -> age(at, nowNanos)).orElse(CrashCounts.NEVER);
    return age.compareTo(SERVED_MAX_AGE) > 0
        ? count
        : count.plus(new CrashCounts(0, Duration.ZERO, CrashCounts.NEVER, age));
  }

  /** Records the sum of the counts of all routers, with this one. */
  void recordTotal(Map<Suspect, CrashCounts> counts, long nowNanos) {
    total = Map.copyOf(counts);
    if (!crashes.isEmpty()) {
      counts.forEach((suspect, count) -> clearBefore(suspect, count.servedAge(), nowNanos));
    }
  }

  /** Forgets the crashes under a suspect before it was served. */
  private void clearBefore(Suspect suspect, Duration servedAge, long nowNanos) {
    if (servedAge.equals(CrashCounts.NEVER)) {
      return;
    }
    long servedAtNanos = nowNanos - servedAge.toNanos();
    crashes.stream()
        .filter(crash -> crash.atNanos <= servedAtNanos)
        .forEach(crash -> crash.suspects.remove(suspect));
  }

  /**
   * Returns the larger of what this router and what all routers have counted, of the suspects with
   * a number of crashes or more.
   */
  Map<Suspect, CrashCounts> countsOf(int minCrashes, long nowNanos) {
    Map<Suspect, CrashCounts> counts = new HashMap<>();
    addCounts(total, minCrashes, counts);
    addCounts(localCounts(nowNanos), minCrashes, counts);
    return counts;
  }

  private static void addCounts(
      Map<Suspect, CrashCounts> from, int minCrashes, Map<Suspect, CrashCounts> to) {
    from.forEach(
        (suspect, count) -> {
          if (count.crashes() >= minCrashes) {
            to.merge(suspect, count, (a, b) -> b.crashes() < a.crashes() ? a : b);
          }
        });
  }

  private static Duration age(long atNanos, long nowNanos) {
    return Duration.ofNanos(nowNanos - atNanos);
  }
}
