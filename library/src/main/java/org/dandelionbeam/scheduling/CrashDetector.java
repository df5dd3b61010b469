package org.dandelionbeam.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntPredicate;
import org.dandelionbeam.routing.RequestContent;

/**
 * Tells the crash of an upstream from single exchanges that break off.
 *
 * <p>An upstream has crashed if all its exchanges break off together, or if it can't be reached or
 * is gone soon after one broke off. Not thread-safe.
 */
final class CrashDetector {
  /** Exchanges that break off within this time may have the same cause. */
  private static final Duration TOGETHER = Duration.ofMillis(300);

  /** Entries of crashed upstreams lapse within this time. */
  private static final Duration CONFIRMATION_TIME = Duration.ofSeconds(5);

  /** An upstream that has written output for longer does not crash on the request's prompt. */
  private static final Duration HARMLESS_OUTPUT_TIME = Duration.ofSeconds(1);

  /** One broken exchange alone may be a lost response. */
  private static final int MIN_BROKEN_TOGETHER = 2;

  private static final int MAX_CRASHES = 1_024;

  private final Map<Integer, List<Break>> breaks = new HashMap<>();
  private final Set<Integer> crashed = new LinkedHashSet<>();

  /** An exchange that broke off. */
  private record Break(RequestContent content, boolean suspect, long atNanos) {}

  /**
   * Records that an exchange broke off.
   *
   * @param upstream number of the upstream
   * @param content content of the request
   * @param outputTime time since the first output, zero if there was none
   * @param isLast whether no other exchange with the upstream is open
   * @param nowNanos monotonic time
   * @return the crash, if the upstream has crashed
   */
  Optional<UpstreamCrash> recordBreak(
      int upstream, RequestContent content, Duration outputTime, boolean isLast, long nowNanos) {
    boolean suspect = outputTime.compareTo(HARMLESS_OUTPUT_TIME) < 0;
    List<Break> known = breaks.computeIfAbsent(upstream, key -> new ArrayList<>());
    known.add(new Break(content, suspect, nowNanos));
    long together = known.stream().filter(each -> isTogether(each, nowNanos)).count();
    return isLast && together >= MIN_BROKEN_TOGETHER ? confirm(upstream) : Optional.empty();
  }

  private static boolean isTogether(Break each, long lastNanos) {
    return lastNanos - each.atNanos <= TOGETHER.toNanos();
  }

  /**
   * Records that no connection to an upstream could be opened.
   *
   * @param upstream number of the upstream
   * @return the crash, if an exchange broke off lately
   */
  Optional<UpstreamCrash> recordUnreachable(int upstream) {
    return confirm(upstream);
  }

  /**
   * Records that an upstream served a request, which shows that it lives.
   *
   * @param upstream number of the upstream
   */
  void recordServed(int upstream) {
    breaks.remove(upstream);
  }

  /**
   * Finds the upstreams that are gone since exchanges broke off, and forgets breaks that stay
   * unconfirmed.
   *
   * @param isKnown tells whether an upstream is still registered
   * @param nowNanos monotonic time
   * @return the crashes
   */
  List<UpstreamCrash> findGone(IntPredicate isKnown, long nowNanos) {
    List<UpstreamCrash> crashes = new ArrayList<>();
    for (int upstream : List.copyOf(breaks.keySet())) {
      if (!isKnown.test(upstream)) {
        confirm(upstream).ifPresent(crashes::add);
      }
    }
    breaks.values().removeIf(known -> isOlderThan(last(known), CONFIRMATION_TIME, nowNanos));
    return crashes;
  }

  private static Break last(List<Break> known) {
    return known.get(known.size() - 1);
  }

  private static boolean isOlderThan(Break each, Duration age, long nowNanos) {
    return nowNanos - each.atNanos > age.toNanos();
  }

  private Optional<UpstreamCrash> confirm(int upstream) {
    List<Break> known = breaks.remove(upstream);
    if (known == null || !crashed.add(upstream)) {
      return Optional.empty();
    }
    forgetOldest();
    long lastNanos = last(known).atNanos;
    List<Break> together = known.stream().filter(each -> isTogether(each, lastNanos)).toList();
    List<RequestContent> suspects =
        together.stream().filter(Break::suspect).map(Break::content).toList();
    return Optional.of(new UpstreamCrash(upstream, together.size(), suspects));
  }

  private void forgetOldest() {
    if (crashed.size() > MAX_CRASHES) {
      Iterator<Integer> oldest = crashed.iterator();
      oldest.next();
      oldest.remove();
    }
  }
}
