package org.dandelionbeam.claims;

import java.util.Optional;
import org.dandelionbeam.claims.ClaimBucket.Draft;

/** Change that this node wants to make to one bucket; applying it is idempotent. */
abstract class ClaimOperation {
  final ClaimKey key;
  final long token;
  final long createdNanos;

  ClaimOperation(ClaimKey key, long token, long createdNanos) {
    this.key = key;
    this.token = token;
    this.createdNanos = createdNanos;
  }

  /** Effect of an operation on a draft. */
  enum Effect {
    /** The draft must be written. */
    CHANGED,
    /** The result depends on the entries that are stored after this write. */
    DEFERRED,
    /** Nothing is left to do. */
    SETTLED
  }

  /**
   * Applies the operation to a draft.
   *
   * @param draft the stored entries, with the earlier operations of the batch applied
   * @param revision revision of the stored entries
   * @param epochSeconds wall clock time in seconds since the epoch
   * @return what is left to do
   */
  abstract Effect apply(Draft draft, long revision, long epochSeconds);

  /**
   * Tells whether the operation is to be written at once, because a caller or another node may wait
   * for it.
   */
  abstract boolean isUrgent();

  /**
   * Records that a write with this operation was sent and may take effect at any time.
   *
   * @param revision revision that the write expects
   */
  void writeSent(long revision) {}

  /** Claim of a key; a caller waits for its result. */
  static final class Acquire extends ClaimOperation {
    final long claim;
    private Optional<ClaimResult> result = Optional.empty();
    private boolean mayBeWritten;
    private long expectedRevision;

    Acquire(ClaimKey key, long token, long createdNanos, long claim) {
      super(key, token, createdNanos);
      this.claim = claim;
    }

    @Override
    Effect apply(Draft draft, long revision, long epochSeconds) {
      ClaimEntry entry = draft.entry(key);
      if (draft.isAdded(key)) {
        return Effect.DEFERRED;
      }
      if (entry != null) {
        result = Optional.of(resultOf(entry));
        return Effect.SETTLED;
      }
      if (draft.isFull()) {
        result =
            Optional.of(new ClaimResult.Unavailable("the bucket of the idempotency key is full"));
        return Effect.SETTLED;
      }
      draft.add(new ClaimEntry(key, token, ClaimEntry.State.CLAIMED, epochSeconds, 0));
      return Effect.CHANGED;
    }

    @Override
    boolean isUrgent() {
      return true;
    }

    /** Returns the result of the claim; only valid once {@link #apply} returned {@code SETTLED}. */
    ClaimResult result() {
      return result.orElseThrow();
    }

    @Override
    void writeSent(long revision) {
      mayBeWritten = true;
      expectedRevision = revision;
    }

    /** Returns the operation that undoes the claim, empty if no write of it was sent. */
    Optional<ClaimOperation> undo(long nowNanos) {
      return mayBeWritten
          ? Optional.of(new Release(key, token, nowNanos, expectedRevision))
          : Optional.empty();
    }

    private ClaimResult resultOf(ClaimEntry entry) {
      if (entry.token() == token) {
        return new ClaimResult.Claimed();
      }
      return switch (entry.state()) {
        case CLAIMED -> new ClaimResult.AlreadyClaimed(Optional.empty());
        case RAN -> alreadyClaimed(true, entry.status());
        case MAY_HAVE_RUN -> alreadyClaimed(false, entry.status());
      };
    }

    private static ClaimResult alreadyClaimed(boolean ran, int status) {
      return new ClaimResult.AlreadyClaimed(Optional.of(new ClaimResult.Outcome(ran, status)));
    }
  }

  /** Records the outcome of a request that holds a claim. */
  static final class RecordOutcome extends ClaimOperation {
    private final ClaimEntry.State outcome;
    private final int status;

    RecordOutcome(
        ClaimKey key, long token, long createdNanos, ClaimEntry.State outcome, int status) {
      super(key, token, createdNanos);
      this.outcome = outcome;
      this.status = status;
    }

    @Override
    Effect apply(Draft draft, long revision, long epochSeconds) {
      if (!draft.isHeldBy(key, token) || draft.entry(key).state() == outcome) {
        return Effect.SETTLED;
      }
      draft.replace(draft.entry(key).withOutcome(outcome, status));
      return Effect.CHANGED;
    }

    @Override
    boolean isUrgent() {
      return false;
    }
  }

  /** Releases a key whose request did not run. */
  static final class Release extends ClaimOperation {
    private final long expectedRevision;

    /** Releases a key whose claim may still be stored by a pending write with this revision. */
    Release(ClaimKey key, long token, long createdNanos, long expectedRevision) {
      super(key, token, createdNanos);
      this.expectedRevision = expectedRevision;
    }

    /**
     * Removes the claim. If it is absent, but the revision is still the one that the pending write
     * of the claim expects, the bucket is written anyway: only a newer revision makes the pending
     * write fail.
     */
    @Override
    Effect apply(Draft draft, long revision, long epochSeconds) {
      if (draft.isHeldBy(key, token)) {
        draft.remove(key);
        return Effect.CHANGED;
      }
      return revision <= expectedRevision ? Effect.CHANGED : Effect.SETTLED;
    }

    @Override
    boolean isUrgent() {
      return true;
    }
  }
}
