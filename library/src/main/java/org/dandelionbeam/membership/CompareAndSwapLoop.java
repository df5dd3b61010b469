package org.dandelionbeam.membership;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

/**
 * Changes one key of the platform by compare-and-swap.
 *
 * <p>A change is a function that returns its argument when it has nothing to change, so a change
 * can be applied again after a lost race, and a lost answer is settled by reading the key.
 *
 * @param <V> immutable value of the key
 */
public final class CompareAndSwapLoop<V> {
  private static final int MAX_PENDING = 64;
  private static final long MIN_BACKOFF_NANOS = Duration.ofMillis(50).toNanos();
  private static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(5).toNanos();

  private final RandomGenerator random;
  private final List<UnaryOperator<V>> pendingChanges = new ArrayList<>();
  private V value;
  private long revision;
  private boolean valueKnown;
  private boolean readRequested = true;
  private boolean callInProgress;
  private int appliedChanges;
  private long backoffNanos = MIN_BACKOFF_NANOS;
  private long nextCallNanos;

  /**
   * Makes a loop that knows nothing of its key.
   *
   * @param initial value of an absent key
   * @param random source of jitter
   * @param nowNanos monotonic time in nanoseconds
   */
  public CompareAndSwapLoop(V initial, RandomGenerator random, long nowNanos) {
    this.value = requireNonNull(initial, "initial");
    this.random = requireNonNull(random, "random");
    nextCallNanos = nowNanos;
  }

  /**
   * Wants a change; it is dropped once a value is known that it leaves as it is.
   *
   * @param change returns its argument if there is nothing to change
   * @return false if too many changes wait
   */
  public boolean addChange(UnaryOperator<V> change) {
    boolean accepted = pendingChanges.size() < MAX_PENDING;
    if (accepted) {
      pendingChanges.add(requireNonNull(change, "change"));
    }
    return accepted;
  }

  /**
   * Tells whether no change waits.
   *
   * @return true if all wanted changes are in force
   */
  public boolean isIdle() {
    return pendingChanges.isEmpty();
  }

  /** Wants the key read even if no change waits. */
  public void requestRead() {
    readRequested = true;
  }

  /**
   * Returns the next call to make; its outcome has to be given back.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @return empty if there is nothing to do now
   */
  public Optional<Call<V>> nextCall(long nowNanos) {
    if (callInProgress || nowNanos - nextCallNanos < 0) {
      return Optional.empty();
    }
    if (readRequested || (!valueKnown && !pendingChanges.isEmpty())) {
      return call(new Read<>());
    }
    V changed = value;
    for (UnaryOperator<V> change : pendingChanges) {
      changed = change.apply(changed);
    }
    appliedChanges = pendingChanges.size();
    if (changed == value) {
      pendingChanges.clear();
      return Optional.empty();
    }
    return call(new Swap<>(revision, changed));
  }

  private Optional<Call<V>> call(Call<V> call) {
    callInProgress = true;
    return Optional.of(call);
  }

  /**
   * Takes a value that was read; an older one than the known is ignored.
   *
   * @param readRevision its revision
   * @param readValue the value
   * @param nowNanos monotonic time in nanoseconds
   */
  public void onRead(long readRevision, V readValue, long nowNanos) {
    callInProgress = false;
    readRequested = false;
    learn(readRevision, readValue);
    scheduleAfterSuccess(nowNanos);
  }

  /**
   * Takes a value that came another way, such as by a watch or from a peer.
   *
   * @param heardRevision its revision
   * @param heardValue the value
   */
  public void learn(long heardRevision, V heardValue) {
    if (!valueKnown || heardRevision > revision) {
      valueKnown = true;
      revision = heardRevision;
      value = heardValue;
    }
  }

  /**
   * Takes the outcome of a swap.
   *
   * @param swapped whether the value of this call is in force
   * @param currentRevision revision now in force
   * @param current value now in force
   * @param nowNanos monotonic time in nanoseconds
   */
  public void onSwapped(boolean swapped, long currentRevision, V current, long nowNanos) {
    callInProgress = false;
    learn(currentRevision, current);
    if (swapped) {
      pendingChanges.subList(0, appliedChanges).clear();
      scheduleAfterSuccess(nowNanos);
    } else {
      readRequested = currentRevision < revision;
      scheduleRetry(nowNanos);
    }
  }

  /**
   * Takes the failure of a call, which may have taken effect.
   *
   * @param nowNanos monotonic time in nanoseconds
   */
  public void onFailed(long nowNanos) {
    callInProgress = false;
    readRequested = true;
    scheduleRetry(nowNanos);
  }

  private void scheduleAfterSuccess(long nowNanos) {
    backoffNanos = MIN_BACKOFF_NANOS;
    nextCallNanos = nowNanos + random.nextLong(MIN_BACKOFF_NANOS);
  }

  private void scheduleRetry(long nowNanos) {
    nextCallNanos = nowNanos + MIN_BACKOFF_NANOS + random.nextLong(backoffNanos);
    backoffNanos = Math.min(MAX_BACKOFF_NANOS, backoffNanos * 2);
  }

  /**
   * Call to the platform.
   *
   * @param <V> value of the key
   */
  public sealed interface Call<V> permits Read, Swap {}

  /**
   * Read of the key.
   *
   * @param <V> value of the key
   */
  public record Read<V>() implements Call<V> {}

  /**
   * Compare-and-swap of the key.
   *
   * @param expectedRevision revision that must be in force
   * @param value the new value
   * @param <V> value of the key
   */
  public record Swap<V>(long expectedRevision, V value) implements Call<V> {}
}
