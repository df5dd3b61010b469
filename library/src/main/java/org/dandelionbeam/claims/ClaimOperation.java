package org.dandelionbeam.claims;

import java.util.Optional;
import org.dandelionbeam.claims.ClaimBucket.Draft;

/** Change that this node wants to make to one bucket; applying it twice changes nothing more. */
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
    /** What is in force after this write decides. */
    DEFERRED,
    /** Nothing is left to be done. */
    SETTLED
  }

  /**
   * Applies the operation.
   *
   * @param draft the entries in force, with the earlier operations of the group
   * @param revision revision of the entries in force
   * @param epochSeconds wall clock time
   * @return what is left to be done
   */
  abstract Effect apply(Draft draft, long revision, long epochSeconds);

  /** Tells whether other nodes wait for this operation. */
  abstract boolean isUrgent();

  /**
   * Notes that a write may put the operation into force at any time.
   *
   * @param revision the revision that the write expects
   */
  void writeSent(long revision) {}

  /** Claim that a caller waits for. */
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
        result = Optional.of(new ClaimResult.Unavailable("the key's bucket is full"));
        return Effect.SETTLED;
      }
      draft.add(new ClaimEntry(key, token, ClaimEntry.State.CLAIMED, epochSeconds, 0));
      return Effect.CHANGED;
    }

    @Override
    boolean isUrgent() {
      return true;
    }

    /** Returns the result that the last application showed if it settled the claim. */
    ClaimResult result() {
      return result.orElseThrow();
    }

    @Override
    void writeSent(long revision) {
      mayBeWritten = true;
      expectedRevision = revision;
    }

    /** Returns what undoes the claim, empty if it can't be in force. */
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

  /** Outcome of the request that holds a claim of this node. */
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
      draft.replace(draft.entry(key).ended(outcome, status));
      return Effect.CHANGED;
    }

    @Override
    boolean isUrgent() {
      return false;
    }
  }

  /** Gives a key free whose request never ran. */
  static final class Release extends ClaimOperation {
    private final long expectedRevision;

    /** A write against the given revision may still put the claim in force. */
    Release(ClaimKey key, long token, long createdNanos, long expectedRevision) {
      super(key, token, createdNanos);
      this.expectedRevision = expectedRevision;
    }

    /** While the revision has not moved on, only another write keeps the old one from landing. */
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
