package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Finds what crashes the upstreams that run it, a whole request or a part of prompts, so that
 * requests with it are refused.
 *
 * <p>Evidence against a suspect is the number of crashes under requests with it; evidence for it is
 * a request with it that was served since. A crash under a blamed suspect is no evidence against
 * others. Counts are summed over all routers. Not thread-safe.
 */
public final class CrashBlame {
  /** Crashes after which a suspect is blamed, if no other of its kind has as many. */
  private static final int MIN_CRASHES = 3;

  /** Crashes after which suspects are blamed although others of their kind have as many. */
  private static final int MIN_CRASHES_OF_EQUALS = 5;

  /** Crashes after which a suspect is blamed that was served before them. */
  private static final int MIN_CRASHES_OF_SERVED = 6;

  /** Crashes after which requests with the suspect are not sent to a further upstream. */
  private static final int SUSPICIOUS_CRASHES = 2;

  /**
   * Time between the first and the last crash under a suspect that was served before them:
   * upstreams that are lost together show nothing about the requests that ran on them.
   */
  private static final Duration MIN_SPREAD = Duration.ofSeconds(2);

  /** Time for which requests with a blamed suspect are refused. */
  private static final Duration HOLD_TIME = Duration.ofMinutes(10);

  /** Routers stop reporting a blame within this time after it has ended. */
  private static final Duration FORGIVEN_TIME = Duration.ofMinutes(1);

  /** Time in which all routers learn of a blame and no longer count the crashes under it. */
  private static final Duration SETTLING_TIME = Duration.ofSeconds(1);

  private static final int MAX_BLAMED = 64;

  private final CrashEvidence evidence = new CrashEvidence();
  private final Map<Suspect, Long> blamedUntilNanos = new LinkedHashMap<>();
  private final List<Blame> decided = new ArrayList<>();
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

  /**
   * Records a crash of an upstream.
   *
   * @param requests requests that it had just begun to answer, or not yet
   * @param nowNanos monotonic time
   */
  public void recordCrash(Collection<RequestContent> requests, long nowNanos) {
    Set<Suspect> suspects = evidence.suspectsOf(requireNonNull(requests, "requests"));
    boolean explained = suspects.stream().anyMatch(suspect -> isBlamed(suspect, nowNanos));
    if (!suspects.isEmpty() && !explained) {
      evidence.recordCrash(suspects, nowNanos);
    }
  }

  /**
   * Records that an upstream has served a request, which speaks for all its suspects.
   *
   * @param request content of the request
   * @param nowNanos monotonic time
   */
  public void recordServed(RequestContent request, long nowNanos) {
    evidence.recordServed(requireNonNull(request, "request"), nowNanos);
  }

  /**
   * Returns what this router has seen of suspects beneath crashes, here or elsewhere.
   *
   * @param nowNanos monotonic time
   * @return counts of the suspects with most crashes
   */
  public Map<Suspect, CrashCounts> localCounts(long nowNanos) {
    return evidence.localCounts(nowNanos);
  }

  /**
   * Records the counts of all routers.
   *
   * @param counts sum over the routers, with this one
   * @param nowNanos monotonic time
   */
  public void recordTotal(Map<Suspect, CrashCounts> counts, long nowNanos) {
    evidence.recordTotal(requireNonNull(counts, "counts"), nowNanos);
  }

  /**
   * Blames the suspect with most crashes, if they suffice. A request is blamed before the parts of
   * its prompt, as that refuses fewer requests.
   *
   * @param nowNanos monotonic time
   * @return suspects that are blamed from now on
   */
  public List<Suspect> blameNext(long nowNanos) {
    boolean settling = settledNanos != Long.MIN_VALUE && nowNanos - settledNanos < 0;
    if (settling || evidence.isEmpty()) {
      return List.of();
    }
    Map<Suspect, CrashCounts> counts = evidence.countsOf(MIN_CRASHES, nowNanos);
    for (Suspect.Kind kind : Suspect.Kind.values()) {
      List<Suspect> guilty = guilty(kind, counts, nowNanos);
      if (!guilty.isEmpty()) {
        for (Suspect suspect : guilty) {
          blame(suspect, nowNanos + HOLD_TIME.toNanos(), nowNanos);
          decided.add(new Blame(suspect, HOLD_TIME));
        }
        return guilty;
      }
    }
    return List.of();
  }

  /**
   * Returns what this router has decided to blame since the last call.
   *
   * @return the blames, without those taken over from other routers
   */
  public List<Blame> takeDecided() {
    List<Blame> taken = List.copyOf(decided);
    decided.clear();
    return taken;
  }

  private List<Suspect> guilty(Suspect.Kind kind, Map<Suspect, CrashCounts> counts, long nowNanos) {
    Map<Suspect, CrashCounts> guilty = new HashMap<>(counts);
    guilty.keySet().removeIf(suspect -> suspect.kind() != kind || isBlamed(suspect, nowNanos));
    guilty.values().removeIf(count -> !suffices(count));
    int most = guilty.values().stream().mapToInt(CrashCounts::crashes).max().orElse(0);
    guilty.values().removeIf(count -> count.crashes() < most);
    boolean ambiguous = guilty.size() > 1 && most < MIN_CRASHES_OF_EQUALS;
    return ambiguous ? List.of() : List.copyOf(guilty.keySet());
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

  private void blame(Suspect suspect, long untilNanos, long nowNanos) {
    if (blamedUntilNanos.size() >= MAX_BLAMED) {
      blamedUntilNanos.remove(blamedUntilNanos.keySet().iterator().next());
    }
    blamedUntilNanos.put(suspect, untilNanos);
    evidence.forgetCrashesUnder(suspect);
    settledNanos = nowNanos + SETTLING_TIME.toNanos();
  }

  /**
   * Returns what is blamed.
   *
   * @param nowNanos monotonic time
   * @return time until the blame ends, by suspect
   */
  public Map<Suspect, Duration> blamed(long nowNanos) {
    blamedUntilNanos.values().removeIf(until -> nowNanos - until > FORGIVEN_TIME.toNanos());
    Map<Suspect, Duration> blamed = new HashMap<>();
    blamedUntilNanos.forEach(
        (suspect, until) -> {
          if (nowNanos - until < 0) {
            blamed.put(suspect, Duration.ofNanos(until - nowNanos));
          }
        });
    return blamed;
  }

  /**
   * Takes over what another router blames.
   *
   * @param blamed time until the blame ends, by suspect
   * @param nowNanos monotonic time
   * @return suspects that were not known to be blamed
   */
  public List<Suspect> recordBlamed(Map<Suspect, Duration> blamed, long nowNanos) {
    List<Suspect> added = new ArrayList<>();
    blamed.forEach(
        (suspect, remaining) -> {
          if (!blamedUntilNanos.containsKey(suspect)) {
            Duration bounded = remaining.compareTo(HOLD_TIME) > 0 ? HOLD_TIME : remaining;
            blame(suspect, nowNanos + bounded.toNanos(), nowNanos);
            added.add(suspect);
          }
        });
    return added;
  }

  private boolean isBlamed(Suspect suspect, long nowNanos) {
    Long until = blamedUntilNanos.get(suspect);
    return until != null && nowNanos - until < 0;
  }

  /**
   * Returns the blame for which a request has to be refused.
   *
   * @param request content of the request
   * @param nowNanos monotonic time
   * @return the blame that ends last, empty if none of its suspects is blamed
   */
  public Optional<Blame> blameOf(RequestContent request, long nowNanos) {
    if (blamedUntilNanos.isEmpty()) {
      return Optional.empty();
    }
    return request.suspects().stream()
        .filter(suspect -> isBlamed(suspect, nowNanos))
        .map(
            suspect ->
                new Blame(suspect, Duration.ofNanos(blamedUntilNanos.get(suspect) - nowNanos)))
        .max(Comparator.comparing(Blame::remaining));
  }

  /**
   * Tells whether a request may crash the next upstream too, so that it is not repeated after its
   * upstream crashed.
   *
   * @param request content of the request
   * @param nowNanos monotonic time
   * @return true if it is blamed, or upstreams have crashed under one of its suspects that was not
   *     served since
   */
  public boolean isSuspicious(RequestContent request, long nowNanos) {
    if (blameOf(request, nowNanos).isPresent()) {
      return true;
    }
    Map<Suspect, CrashCounts> counts = evidence.countsOf(SUSPICIOUS_CRASHES, nowNanos);
    return request.suspects().stream()
        .anyMatch(suspect -> counts.containsKey(suspect) && !counts.get(suspect).isServedSince());
  }
}
