package org.dandelionbeam.claims;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.claims.ClaimOperation.Acquire;
import org.dandelionbeam.claims.ClaimOperation.RecordOutcome;
import org.dandelionbeam.claims.ClaimOperation.Release;

/**
 * State machine that decides which requests of this node hold their idempotency keys.
 *
 * <p>A request holds its key once a compare-and-swap has stored its token in the key's bucket in
 * the platform's key-value store, and this was confirmed in time. In all other cases the claim is
 * refused, so that at most one request with a key runs within the retention. While the store is
 * unavailable, claims are refused at once. Not thread-safe.
 */
public final class ClaimCoordinator {
  private static final int FAILURES_UNTIL_UNAVAILABLE = 3;
  private static final long PROBE_INTERVAL_NANOS = 500_000_000L;
  private static final long NO_PENDING_WRITE = -1;

  private final ClaimSettings settings;
  private final RandomGenerator random;
  private final Map<Integer, BucketWriter> writers = new LinkedHashMap<>();
  private final Map<Long, Acquire> openClaims = new HashMap<>();
  private final Map<ClaimKey, Long> heldTokens = new HashMap<>();
  private long lastCall;
  private int consecutiveFailures;
  private long lastFailureNanos;
  private boolean flushing;

  private ClaimCoordinator(ClaimSettings settings, RandomGenerator random) {
    this.settings = requireNonNull(settings, "settings");
    this.random = requireNonNull(random, "random");
  }

  /**
   * Returns a coordinator without claims.
   *
   * @param settings limits of claims
   * @param random source of tokens and jitter; must be seeded differently in every process, so that
   *     tokens are unique
   * @return the coordinator
   */
  public static ClaimCoordinator of(ClaimSettings settings, RandomGenerator random) {
    return new ClaimCoordinator(settings, random);
  }

  /**
   * Claims a key for a request.
   *
   * @param claim number of the claim, unique on this node; repeated in the answer
   * @param key the key
   * @param now current time
   * @return the answer if the claim is refused at once; otherwise the answer follows later
   */
  public List<ClaimAction> claim(long claim, ClaimKey key, ClaimTime now) {
    if (openClaims.size() >= settings.maxPending()) {
      return refusal(claim, "too many claims are pending on this node");
    }
    if (isStoreUnavailable() && now.nanos() - lastFailureNanos < PROBE_INTERVAL_NANOS) {
      return refusal(claim, "the platform's key-value store is unavailable");
    }
    Acquire acquire = new Acquire(key, random.nextLong(), now.nanos(), claim);
    openClaims.put(claim, acquire);
    writer(key).add(acquire);
    return List.of();
  }

  /**
   * Records how the request that holds a key ended.
   *
   * @param key the key
   * @param verdict whether the request ran; {@code NOT_RUN} releases the key
   * @param status HTTP status of the response to the caller, 0 if none
   * @param now current time
   */
  public void finished(ClaimKey key, Verdict verdict, int status, ClaimTime now) {
    Long token = heldTokens.remove(key);
    if (token == null) {
      return;
    }
    long nowNanos = now.nanos();
    writer(key)
        .add(
            switch (verdict) {
              case NOT_RUN -> new Release(key, token, nowNanos, NO_PENDING_WRITE);
              case MAY_HAVE_RUN ->
                  new RecordOutcome(key, token, nowNanos, ClaimEntry.State.MAY_HAVE_RUN, status);
              case RAN -> new RecordOutcome(key, token, nowNanos, ClaimEntry.State.RAN, status);
            });
  }

  /**
   * Starts the calls that are due and refuses claims that timed out.
   *
   * @param now current time
   * @return the actions to perform next
   */
  public List<ClaimAction> tick(ClaimTime now) {
    List<ClaimAction> actions = new ArrayList<>();
    Consumer<ClaimAction> out = collector(actions);
    Iterator<BucketWriter> iterator = writers.values().iterator();
    while (iterator.hasNext()) {
      BucketWriter writer = iterator.next();
      tick(writer, now, out);
      if (!writer.hasWork()) {
        iterator.remove();
      }
    }
    return actions;
  }

  /**
   * Handles the response to a read.
   *
   * @param bucket number of the bucket
   * @param call number of the call; ignored unless the bucket waits for this call
   * @param current entries that were read
   * @param now current time
   * @return the actions to perform next
   */
  public List<ClaimAction> read(int bucket, long call, ClaimBucket current, ClaimTime now) {
    return handleResponse(
        bucket, call, (writer, out) -> writer.merge(current, now, ++lastCall, out));
  }

  /**
   * Handles the response to a compare-and-swap.
   *
   * @param bucket number of the bucket
   * @param call number of the call; ignored unless the bucket waits for this call
   * @param swapped whether the write took effect
   * @param current entries that are stored after the call
   * @param now current time
   * @return the actions to perform next
   */
  public List<ClaimAction> swapped(
      int bucket, long call, boolean swapped, ClaimBucket current, ClaimTime now) {
    return handleResponse(
        bucket,
        call,
        (writer, out) -> {
          if (swapped) {
            writer.swapped(now.nanos(), out);
          } else {
            writer.merge(current, now, ++lastCall, out);
          }
        });
  }

  /**
   * Handles the failure of a call, which may or may not have taken effect.
   *
   * @param bucket number of the bucket
   * @param call number of the call; ignored unless the bucket waits for this call
   * @param now current time
   * @return the actions to perform next
   */
  public List<ClaimAction> failed(int bucket, long call, ClaimTime now) {
    List<ClaimAction> actions = new ArrayList<>();
    BucketWriter writer = writers.get(bucket);
    if (writer != null && writer.isWaitingFor(call)) {
      fail(writer, now, collector(actions));
    }
    return actions;
  }

  /** Makes recorded outcomes due for writing at once, because the node is shutting down. */
  public void flush() {
    flushing = true;
  }

  /**
   * Tells whether {@link #tick} must be called.
   *
   * @return false if no operation waits and no call is open
   */
  public boolean hasWork() {
    return !writers.isEmpty();
  }

  /**
   * Tells whether the platform's key-value store counts as unavailable.
   *
   * @return true after several consecutive failures
   */
  public boolean isStoreUnavailable() {
    return consecutiveFailures >= FAILURES_UNTIL_UNAVAILABLE;
  }

  private void tick(BucketWriter writer, ClaimTime now, Consumer<ClaimAction> out) {
    if (writer.isCallTimedOut(now.nanos())) {
      fail(writer, now, out);
    }
    writer.refuseTimedOutClaims(now.nanos(), out);
    boolean mayCall =
        !isStoreUnavailable() || now.nanos() - lastFailureNanos >= PROBE_INTERVAL_NANOS;
    if (mayCall && writer.isDue(now.nanos(), flushing)) {
      lastFailureNanos = isStoreUnavailable() ? now.nanos() : lastFailureNanos;
      writer.startRead(++lastCall, now.nanos(), out);
    }
  }

  private void fail(BucketWriter writer, ClaimTime now, Consumer<ClaimAction> out) {
    consecutiveFailures++;
    lastFailureNanos = now.nanos();
    writer.failed(now.nanos(), out);
  }

  private List<ClaimAction> handleResponse(int bucket, long call, ResponseHandler handler) {
    List<ClaimAction> actions = new ArrayList<>();
    BucketWriter writer = writers.get(bucket);
    if (writer != null && writer.isWaitingFor(call)) {
      consecutiveFailures = 0;
      handler.handle(writer, collector(actions));
    }
    return actions;
  }

  private BucketWriter writer(ClaimKey key) {
    int bucket = key.bucket(settings.buckets());
    return writers.computeIfAbsent(bucket, number -> new BucketWriter(number, settings, random));
  }

  private static List<ClaimAction> refusal(long claim, String detail) {
    return List.of(new ClaimAction.Answer(claim, new ClaimResult.Unavailable(detail)));
  }

  /** Returns a consumer that collects actions and records the claims that this node won. */
  private Consumer<ClaimAction> collector(List<ClaimAction> actions) {
    return action -> {
      if (action instanceof ClaimAction.Answer answer) {
        Acquire acquire = openClaims.remove(answer.claim());
        if (answer.result() instanceof ClaimResult.Claimed) {
          heldTokens.put(acquire.key, acquire.token);
        }
      }
      actions.add(action);
    };
  }

  private interface ResponseHandler {
    void handle(BucketWriter writer, Consumer<ClaimAction> out);
  }
}
