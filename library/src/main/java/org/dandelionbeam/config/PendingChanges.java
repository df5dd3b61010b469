package org.dandelionbeam.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.config.ApplyResult.Accepted;
import org.dandelionbeam.config.ApplyResult.Conflict;
import org.dandelionbeam.config.ApplyResult.Refused;
import org.dandelionbeam.config.ApplyResult.Superseded;
import org.dandelionbeam.config.ApplyResult.Unavailable;
import org.dandelionbeam.config.ConfigAction.Answer;
import org.dandelionbeam.config.ConfigAction.Write;
import org.dandelionbeam.config.ConfigCodec.Prepared;

/**
 * Operators' changes that are not yet confirmed by the platform store.
 *
 * <p>A write whose response was lost is retried with the same expected revision: either the retry
 * takes effect, or it returns a value whose recent change ids show whether the first attempt did.
 */
final class PendingChanges {
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
  private static final int MAX_VALUE_BYTES = 1 << 20; // limit of the platform store
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final ConfigCodec codec;
  private final Map<String, Change> changes = new LinkedHashMap<>();

  PendingChanges(ConfigCodec codec) {
    this.codec = codec;
  }

  /** Adds a change; it is written once this node has the revision that it is based on. */
  void begin(String id, long expectedRevision, ConfigNode tree, long nowNanos) {
    changes.put(id, new Change(id, expectedRevision, tree, nowNanos));
  }

  boolean isEmpty() {
    return changes.isEmpty();
  }

  /**
   * Advances each change as far as the configuration in force allows; returns the resulting
   * actions.
   */
  List<ConfigAction> advance(InForceState state, long nowNanos) {
    List<ConfigAction> actions = new ArrayList<>();
    for (Change change : List.copyOf(changes.values())) {
      advance(change, state, nowNanos).ifPresent(actions::add);
    }
    return actions;
  }

  private Optional<ConfigAction> advance(Change change, InForceState state, long nowNanos) {
    if (nowNanos - change.startedAtNanos > TIMEOUT_NANOS) {
      String detail = "the platform store did not confirm the change within 10 s";
      return complete(change, new Unavailable(change.verdict, detail));
    }
    if (change.writeInFlight || nowNanos - change.nextAttemptAtNanos < 0) {
      return Optional.empty();
    }
    return change.stored.isPresent() ? write(change) : prepare(change, state);
  }

  private Optional<ConfigAction> prepare(Change change, InForceState state) {
    if (change.expectedRevision < state.revision()) {
      return complete(change, conflict(state.revision(), state.stored().orElseThrow(), change));
    }
    if (change.expectedRevision > state.revision()
        && !state.canReplaceRefused(change.expectedRevision)) {
      return Optional.empty();
    }
    Prepared prepared = codec.prepare(state.stored(), change.tree, change.id);
    if (prepared instanceof Prepared.Invalid invalid) {
      return complete(change, new Refused(invalid.problems()));
    }
    byte[] stored = ((Prepared.Ready) prepared).stored();
    if (stored.length > MAX_VALUE_BYTES) {
      return complete(change, new Refused(List.of(tooLarge(change.tree, stored.length))));
    }
    boolean isSame =
        change.expectedRevision == state.revision()
            && state.stored().map(bytes -> codec.diff(bytes, stored).isEmpty()).orElse(false);
    if (isSame) {
      return complete(change, new Accepted(state.revision()));
    }
    change.stored = Optional.of(stored);
    return write(change);
  }

  private Optional<ConfigAction> write(Change change) {
    change.writeInFlight = true;
    return Optional.of(new Write(change.id, change.expectedRevision, change.stored.orElseThrow()));
  }

  /** Completes a change whose write got a response. */
  Optional<ConfigAction> onWriteCompleted(
      String id, boolean swapped, long revision, byte[] inForce) {
    Change change = changes.get(id);
    if (change == null) {
      return Optional.empty();
    }
    byte[] stored = change.stored.orElseThrow();
    if (swapped || Arrays.equals(inForce, stored)) {
      return complete(change, new Accepted(revision));
    }
    return complete(
        change,
        codec.changeIds(inForce).contains(id)
            ? new Superseded(revision)
            : conflict(revision, inForce, change));
  }

  void onWriteFailed(String id, Verdict verdict, long nowNanos) {
    Change change = changes.get(id);
    if (change != null) {
      change.writeInFlight = false;
      change.verdict = change.verdict.join(verdict);
      change.nextAttemptAtNanos = nowNanos + RETRY_DELAY_NANOS;
    }
  }

  private Conflict conflict(long revision, byte[] inForce, Change change) {
    Prepared prepared = codec.prepare(Optional.empty(), change.tree, change.id);
    List<String> diff =
        prepared instanceof Prepared.Ready ready
            ? codec.diff(inForce, ready.stored())
            : List.of("the change itself has errors");
    return new Conflict(revision, diff);
  }

  private static ConfigProblem tooLarge(ConfigNode tree, int bytes) {
    String expected = "at most " + MAX_VALUE_BYTES + " bytes in stored form";
    return ConfigProblem.at(tree.source(), "", expected, bytes + " bytes");
  }

  private Optional<ConfigAction> complete(Change change, ApplyResult result) {
    changes.remove(change.id);
    return Optional.of(new Answer(change.id, result));
  }

  /**
   * Configuration in force on this node.
   *
   * @param revision revision in force, 0 for none
   * @param refusedRevision highest revision that was refused, 0 for none
   * @param newestRevision highest revision known to be in force on any node
   * @param stored stored form of the configuration, empty for none
   */
  record InForceState(
      long revision, long refusedRevision, long newestRevision, Optional<byte[]> stored) {

    /**
     * Returns whether a change based on the refused revision may be built on this node's last valid
     * one.
     */
    boolean canReplaceRefused(long expected) {
      return expected == refusedRevision && stored.isPresent() && revision >= newestRevision;
    }
  }

  private static final class Change {
    private final String id;
    private final long expectedRevision;
    private final ConfigNode tree;
    private final long startedAtNanos;
    private Optional<byte[]> stored = Optional.empty();
    private Verdict verdict = Verdict.NOT_RUN;
    private boolean writeInFlight;
    private long nextAttemptAtNanos;

    private Change(String id, long expectedRevision, ConfigNode tree, long nowNanos) {
      this.id = id;
      this.expectedRevision = expectedRevision;
      this.tree = tree;
      startedAtNanos = nowNanos;
      nextAttemptAtNanos = nowNanos;
    }
  }
}
