package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides when a router reads from the store what is blamed for crashes, and writes what the store
 * lacks.
 *
 * <p>The router that blames writes at once. The others look some time later whether the store has
 * the blame, and write it if it doesn't: the first one may have ended, or the store may have come
 * back from an older copy. One call is open at a time. Not thread-safe.
 */
public final class BlameRecords {
  /** A router that blames has written within this time, if it can. */
  private static final Duration MIN_CHECK_DELAY = Duration.ofMillis(500);

  /** Keeps the calls of many routers apart. */
  private static final Duration CHECK_DELAY_PER_ROUTER = Duration.ofMillis(25);

  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

  private static final long NO_ERA = StoreVersions.NONE.era();

  private final Set<Suspect> stored = new HashSet<>();
  private final Set<Suspect> lacking = new HashSet<>();
  private Set<Suspect> asked = Set.of();
  private boolean callOpen;
  private boolean upToDate;
  private long era = NO_ERA;
  private long readNanos = Long.MIN_VALUE;
  private long writeNanos = Long.MIN_VALUE;

  private BlameRecords() {}

  /**
   * Creates the decisions of a router that has not read anything.
   *
   * @return the decisions
   */
  public static BlameRecords create() {
    return new BlameRecords();
  }

  /** A call to the store. */
  public sealed interface Call {
    /** Reads what is blamed. */
    record Read() implements Call {}

    /**
     * Writes a blame.
     *
     * @param blame the blame
     */
    record Write(Blame blame) implements Call {}
  }

  /**
   * Returns the time after which a router looks for what others have blamed.
   *
   * @param routers number of routers of the fleet
   * @param position between 0 and 1, drawn by each router
   * @return the time
   */
  public static Duration checkDelay(int routers, double position) {
    long spreadNanos = CHECK_DELAY_PER_ROUTER.toNanos() * routers;
    return MIN_CHECK_DELAY.plusNanos((long) (spreadNanos * position));
  }

  /**
   * Records that this router has decided to blame, so that it writes without looking.
   *
   * @param suspect what is blamed
   */
  public void recordDecided(Suspect suspect) {
    lacking.add(requireNonNull(suspect, "suspect"));
  }

  /**
   * Returns the call that is to be made now, whose outcome has to be recorded.
   *
   * @param blamed time until the end of each blame that this router knows
   * @param storeEra number of restorations of the store
   * @param checkDelay see {@link #checkDelay}
   * @param nowNanos monotonic time
   * @return the call, empty if none is to be made or one is open
   */
  public Optional<Call> next(
      Map<Suspect, Duration> blamed, long storeEra, Duration checkDelay, long nowNanos) {
    if (storeEra != era) {
      recordEra(storeEra, checkDelay, nowNanos);
    }
    stored.retainAll(blamed.keySet());
    lacking.retainAll(blamed.keySet());
    boolean unchecked =
        blamed.keySet().stream()
            .anyMatch(each -> !stored.contains(each) && !lacking.contains(each));
    if (unchecked && upToDate) {
      upToDate = false;
      readNanos = nowNanos + checkDelay.toNanos();
    }
    if (callOpen) {
      return Optional.empty();
    }
    Optional<Call> call = nextWrite(blamed, nowNanos).or(() -> nextRead(blamed, nowNanos));
    callOpen = call.isPresent();
    return call;
  }

  /** What earlier eras had may be gone. */
  private void recordEra(long storeEra, Duration checkDelay, long nowNanos) {
    if (era == NO_ERA) {
      era = storeEra;
      return;
    }
    if (upToDate) {
      readNanos = nowNanos + checkDelay.toNanos();
    }
    era = storeEra;
    upToDate = false;
    stored.clear();
  }

  private Optional<Call> nextWrite(Map<Suspect, Duration> blamed, long nowNanos) {
    if (!isDue(writeNanos, nowNanos)) {
      return Optional.empty();
    }
    return lacking.stream()
        .findFirst()
        .map(suspect -> new Call.Write(new Blame(suspect, blamed.get(suspect))));
  }

  private Optional<Call> nextRead(Map<Suspect, Duration> blamed, long nowNanos) {
    if (upToDate || !isDue(readNanos, nowNanos)) {
      return Optional.empty();
    }
    asked = Set.copyOf(blamed.keySet());
    return Optional.of(new Call.Read());
  }

  /** Tells whether the last call saw the store of the era by which it was made. */
  private boolean isCurrent(long storeEra) {
    return storeEra == era || era == NO_ERA;
  }

  private static boolean isDue(long dueNanos, long nowNanos) {
    return dueNanos == Long.MIN_VALUE || nowNanos - dueNanos >= 0;
  }

  /**
   * Records the outcome of a read.
   *
   * @param found what the store has, empty if the call failed
   * @param storeEra number of restorations of the store
   * @param nowNanos monotonic time
   */
  public void recordRead(Optional<Set<Suspect>> found, long storeEra, long nowNanos) {
    callOpen = false;
    if (found.isEmpty() || !isCurrent(storeEra)) {
      readNanos = nowNanos + RETRY_DELAY.toNanos();
      return;
    }
    upToDate = true;
    stored.addAll(found.get());
    asked.stream().filter(suspect -> !stored.contains(suspect)).forEach(lacking::add);
  }

  /**
   * Records the outcome of a write.
   *
   * @param suspect what is blamed
   * @param acknowledged whether the store has it
   * @param storeEra number of restorations of the store
   * @param nowNanos monotonic time
   */
  public void recordWritten(Suspect suspect, boolean acknowledged, long storeEra, long nowNanos) {
    callOpen = false;
    if (!acknowledged || !isCurrent(storeEra)) {
      writeNanos = nowNanos + RETRY_DELAY.toNanos();
      return;
    }
    lacking.remove(suspect);
    stored.add(suspect);
  }

  /**
   * Tells whether the store is known to have what is blamed.
   *
   * @param blamed the blames that this router knows
   * @return true if none would be lost with this router
   */
  public boolean areStored(Set<Suspect> blamed) {
    return stored.containsAll(blamed);
  }
}
