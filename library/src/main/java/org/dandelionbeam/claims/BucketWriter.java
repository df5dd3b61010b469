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
 * Brings this node's operations on one bucket into force, one call at a time.
 *
 * <p>All operations that wait are read, merged and written together. A conflict merges them into
 * the value that is in force; a lost answer is settled by reading back.
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

  /** Tells whether an answer belongs to the call that this bucket waits for. */
  boolean isWaitingFor(long answeredCall) {
    return calling && call == answeredCall;
  }

  boolean isCallTimedOut(long nowNanos) {
    return calling && nowNanos - sentNanos > CALL_TIMEOUT_NANOS;
  }

  /** Tells whether a call should begin now. */
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

  /** Merges the operations into the entries in force, and writes them if that changes any. */
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

  /** Whether a failed write took effect shows when the bucket is read again. */
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
            refuse(acquire, "the platform did not confirm the claim in time", nowNanos, out));
  }

  private boolean isClaimTimedOut(Acquire acquire, long nowNanos) {
    return nowNanos - acquire.createdNanos >= settings.claimTimeout().toNanos();
  }

  private void answerIfClaim(ClaimOperation operation, long nowNanos, Consumer<ClaimAction> out) {
    if (operation instanceof Acquire acquire) {
      answerIfInTime(acquire, acquire.result(), nowNanos, out);
    }
  }

  /** A holder that was paused while it waited does not rely on what it hears afterwards. */
  private void answerIfInTime(
      Acquire acquire, ClaimResult result, long nowNanos, Consumer<ClaimAction> out) {
    boolean inTime = nowNanos - sentNanos <= settings.confirmationTimeout().toNanos();
    if (inTime || !(result instanceof ClaimResult.Claimed)) {
      out.accept(new ClaimAction.Answer(acquire.claim, result));
    } else {
      refuse(acquire, "the platform confirmed the claim too late", nowNanos, out);
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
