package org.dandelionbeam.claims;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.dandelionbeam.claims.ClaimOperation.Acquire;

/**
 * Writes the operations of this node on one bucket to the platform's key-value store, one call at a
 * time.
 *
 * <p>It reads the bucket, applies all waiting operations to the entries and writes the result with
 * a single compare-and-swap. After a conflict it applies them again to the entries that are stored
 * now. If the response to a write is lost, it reads the bucket again to see whether the write took
 * effect.
 */
final class BucketWriter {
  private static final long CALL_TIMEOUT_NANOS = 10_000_000_000L;
  private static final long INITIAL_BACKOFF_NANOS = 50_000_000L;
  private static final int MAX_BACKOFF_DOUBLINGS = 4;

  private final int bucket;
  private final ClaimSettings settings;
  private final RandomGenerator random;
  private final Deque<ClaimOperation> waiting = new ArrayDeque<>();
  private List<ClaimOperation> batch = new ArrayList<>();
  private boolean calling;
  private long call;
  private long sentNanos;
  private long notBeforeNanos;
  private int consecutiveFailures;

  BucketWriter(int bucket, ClaimSettings settings, RandomGenerator random) {
    this.bucket = bucket;
    this.settings = settings;
    this.random = random;
  }

  void add(ClaimOperation operation) {
    waiting.add(operation);
  }

  boolean hasWork() {
    return calling || !waiting.isEmpty();
  }

  /** Tells whether this bucket waits for the response to the given call. */
  boolean isWaitingFor(long answeredCall) {
    return calling && call == answeredCall;
  }

  boolean isCallTimedOut(long nowNanos) {
    return calling && nowNanos - sentNanos > CALL_TIMEOUT_NANOS;
  }

  /** Tells whether a call should be started now. */
  boolean isDue(long nowNanos, boolean flushing) {
    if (calling || (consecutiveFailures > 0 && nowNanos - notBeforeNanos < 0)) {
      return false;
    }
    long outcomeDelay = flushing ? 0 : settings.maxOutcomeDelay().toNanos();
    return waiting.stream()
        .anyMatch(
            operation -> operation.isUrgent() || nowNanos - operation.createdNanos >= outcomeDelay);
  }

  void startRead(long nextCall, long nowNanos, Consumer<ClaimAction> out) {
    batch = drainWaiting();
    recordCall(nextCall, nowNanos);
    out.accept(new ClaimAction.Read(bucket, nextCall));
  }

  /** Applies the operations to the stored entries, and writes these if any of them changed. */
  void merge(ClaimBucket current, ClaimTime now, long nextCall, Consumer<ClaimAction> out) {
    consecutiveFailures = 0;
    batch.addAll(drainWaiting());
    refuseTimedOutClaims(now.nanos(), out);
    long oldestEpochSeconds = now.epochSeconds() - settings.retention().toSeconds();
    ClaimBucket.Draft draft = current.draft(oldestEpochSeconds);
    List<ClaimOperation> changes = new ArrayList<>();
    for (ClaimOperation operation : batch) {
      switch (operation.apply(draft, current.revision(), now.epochSeconds())) {
        case CHANGED -> changes.add(operation);
        case DEFERRED -> waiting.add(operation);
        default -> answerIfClaim(operation, now.nanos(), out);
      }
    }
    batch = changes;
    calling = !changes.isEmpty();
    if (calling) {
      changes.forEach(operation -> operation.writeSent(current.revision()));
      recordCall(nextCall, now.nanos());
      out.accept(new ClaimAction.Swap(bucket, nextCall, current.revision(), draft.entries()));
    }
  }

  void swapped(long nowNanos, Consumer<ClaimAction> out) {
    consecutiveFailures = 0;
    calling = false;
    for (ClaimOperation operation : batch) {
      if (operation instanceof Acquire acquire) {
        answerIfInTime(acquire, new ClaimResult.Claimed(), nowNanos, out);
      }
    }
    batch = new ArrayList<>();
  }

  /**
   * Handles a failed call: schedules a retry with backoff. Whether a failed write took effect is
   * known once the bucket is read again.
   */
  void failed(long nowNanos, Consumer<ClaimAction> out) {
    long backoff = INITIAL_BACKOFF_NANOS << Math.min(consecutiveFailures, MAX_BACKOFF_DOUBLINGS);
    notBeforeNanos = nowNanos + backoff / 2 + random.nextLong(backoff);
    consecutiveFailures++;
    calling = false;
    batch.addAll(drainWaiting());
    waiting.addAll(batch);
    batch = new ArrayList<>();
    refuseTimedOutClaims(nowNanos, out);
  }

  void refuseTimedOutClaims(long nowNanos, Consumer<ClaimAction> out) {
    refuseTimedOut(waiting, nowNanos, out);
    refuseTimedOut(batch, nowNanos, out);
  }

  private void refuseTimedOut(
      Collection<ClaimOperation> operations, long nowNanos, Consumer<ClaimAction> out) {
    List<Acquire> timedOut = new ArrayList<>();
    Iterator<ClaimOperation> iterator = operations.iterator();
    while (iterator.hasNext()) {
      if (iterator.next() instanceof Acquire acquire && isClaimTimedOut(acquire, nowNanos)) {
        iterator.remove();
        timedOut.add(acquire);
      }
    }
    timedOut.forEach(
        acquire ->
            refuse(
                acquire,
                "the platform's key-value store did not confirm the claim in time",
                nowNanos,
                out));
  }

  private boolean isClaimTimedOut(Acquire acquire, long nowNanos) {
    return nowNanos - acquire.createdNanos >= settings.claimTimeout().toNanos();
  }

  private void answerIfClaim(ClaimOperation operation, long nowNanos, Consumer<ClaimAction> out) {
    if (operation instanceof Acquire acquire) {
      answerIfInTime(acquire, acquire.result(), nowNanos, out);
    }
  }

  /**
   * Answers a claim, unless it won the key but the confirmation arrived too late. A process that
   * was paused while it waited must not rely on a confirmation that may be outdated.
   */
  private void answerIfInTime(
      Acquire acquire, ClaimResult result, long nowNanos, Consumer<ClaimAction> out) {
    boolean inTime = nowNanos - sentNanos <= settings.confirmationTimeout().toNanos();
    if (inTime || !(result instanceof ClaimResult.Claimed)) {
      out.accept(new ClaimAction.Answer(acquire.claim, result));
    } else {
      refuse(
          acquire,
          "the platform's key-value store confirmed the claim too late to rely on it",
          nowNanos,
          out);
    }
  }

  private void refuse(Acquire acquire, String detail, long nowNanos, Consumer<ClaimAction> out) {
    out.accept(new ClaimAction.Answer(acquire.claim, new ClaimResult.Unavailable(detail)));
    acquire.undo(nowNanos).ifPresent(waiting::add);
  }

  private void recordCall(long nextCall, long nowNanos) {
    calling = true;
    call = nextCall;
    sentNanos = nowNanos;
  }

  private List<ClaimOperation> drainWaiting() {
    List<ClaimOperation> drained = new ArrayList<>(waiting);
    waiting.clear();
    return drained;
  }
}
