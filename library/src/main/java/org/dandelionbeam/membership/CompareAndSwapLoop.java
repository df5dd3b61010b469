package org.dandelionbeam.membership;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

/**
 * Changes one key of the platform's key-value store by compare-and-swap; the caller makes the calls
 * and reports their outcome.
 *
 * <p>A change is an idempotent function that returns its argument when there is nothing to change.
 * So a change can be applied again when another node changed the key first, and after a lost answer
 * the key is read to find out whether the change took effect.
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
   * Creates a loop that does not know the value of its key.
   *
   * @param initial value that the changes start from if the key is absent
   * @param random source of jitter
   * @param nowNanos monotonic time in nanoseconds
   */
  public CompareAndSwapLoop(V initial, RandomGenerator random, long nowNanos) {
    this.value = requireNonNull(initial, "initial");
    this.random = requireNonNull(random, "random");
    nextCallNanos = nowNanos;
  }

  /**
   * Adds a change, which stays pending until the value of the key reflects it.
   *
   * @param change function of the value, returns its argument if there is nothing to change
   * @return false if too many changes are pending; the change is dropped then
   */
  public boolean addChange(UnaryOperator<V> change) {
    boolean accepted = pendingChanges.size() < MAX_PENDING;
    if (accepted) {
      pendingChanges.add(requireNonNull(change, "change"));
    }
    return accepted;
  }

  /**
   * Tells whether no change is pending.
   *
   * @return true if all added changes are in force
   */
  public boolean isIdle() {
    return pendingChanges.isEmpty();
  }

  /** Requests a read of the key even if no change is pending. */
  public void requestRead() {
    readRequested = true;
  }

  /**
   * Returns the next call to make. Its outcome has to be reported by {@link #onRead}, {@link
   * #onSwapped} or {@link #onFailed}.
   *
   * @param nowNanos monotonic time in nanoseconds
   * @return the call, empty if none is due
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
   * Records a value that was read; one older than the known value is ignored.
   *
   * @param readRevision revision of the value
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
   * Records a value from another source, such as a watch or a peer.
   *
   * @param heardRevision revision of the value
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
   * Records the outcome of a swap.
   *
   * @param swapped whether the call set the value
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
   * Records the failure of a call, which may nevertheless have taken effect.
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
   * Call to the platform's key-value store.
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
   * @param expectedRevision revision that the key must have
   * @param value the new value
   * @param <V> value of the key
   */
  public record Swap<V>(long expectedRevision, V value) implements Call<V> {}
}
