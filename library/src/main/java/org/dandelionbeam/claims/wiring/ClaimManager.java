package org.dandelionbeam.claims.wiring;

import static java.util.Objects.requireNonNull;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.MonotonicClock;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.claims.ClaimAction;
import org.dandelionbeam.claims.ClaimBucket;
import org.dandelionbeam.claims.ClaimCoordinator;
import org.dandelionbeam.claims.ClaimKey;
import org.dandelionbeam.claims.ClaimResult;
import org.dandelionbeam.claims.ClaimSettings;
import org.dandelionbeam.claims.ClaimTime;
import org.dandelionbeam.entry.ClaimPort;
import org.dandelionbeam.runtime.EventThread;
import org.dandelionbeam.store.PlatformStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Claims idempotency keys in the platform's key-value store. Thread-safe. */
public final class ClaimManager implements ClaimPort {
  private static final Logger LOG = LoggerFactory.getLogger(ClaimManager.class);
  private static final Duration DEFAULT_TICK_PERIOD = Duration.ofMillis(5);

  private final EventThread thread;
  private final PlatformStore store;
  private final ClaimSettings settings;
  private final MonotonicClock clock;
  private final Duration tickPeriod;
  private final ClaimCoordinator coordinator;
  private final Map<Long, CompletableFuture<ClaimResult>> openClaims = new HashMap<>();
  private final CompletableFuture<Void> flushed = new CompletableFuture<>();
  private long lastClaim;
  private boolean flushing;
  private boolean ticking;

  private ClaimManager(
      EventThread thread,
      PlatformStore store,
      ClaimSettings settings,
      MonotonicClock clock,
      Duration tickPeriod) {
    this.thread = requireNonNull(thread, "thread");
    this.store = requireNonNull(store, "store");
    this.settings = requireNonNull(settings, "settings");
    this.clock = requireNonNull(clock, "clock");
    this.tickPeriod = requireNonNull(tickPeriod, "tickPeriod");
    coordinator = ClaimCoordinator.of(settings, new SecureRandom());
  }

  /**
   * Returns a running manager with the system clock and a tick period of five milliseconds.
   *
   * @param thread event thread of the manager
   * @param store the platform's key-value store
   * @param settings settings of claims
   * @return the manager
   */
  public static ClaimManager of(EventThread thread, PlatformStore store, ClaimSettings settings) {
    return of(thread, store, settings, MonotonicClock.system(), DEFAULT_TICK_PERIOD);
  }

  /**
   * Returns a running manager.
   *
   * @param thread event thread of the manager
   * @param store the platform's key-value store
   * @param settings settings of claims
   * @param clock source of monotonic time
   * @param tickPeriod time during which claims of one bucket are collected into a batch
   * @return the manager
   */
  public static ClaimManager of(
      EventThread thread,
      PlatformStore store,
      ClaimSettings settings,
      MonotonicClock clock,
      Duration tickPeriod) {
    return new ClaimManager(thread, store, settings, clock, tickPeriod);
  }

  /**
   * Claims a key for a request.
   *
   * @param team the caller's team
   * @param service the service
   * @param key idempotency key that the caller sent
   * @param request id of the request
   * @return the result; the future never fails
   */
  public CompletableFuture<ClaimResult> claim(
      TeamId team, ServiceId service, String key, RequestId request) {
    requireNonNull(request, "request");
    ClaimKey digest = ClaimKey.of(team, service, key);
    CompletableFuture<ClaimResult> answer = new CompletableFuture<>();
    if (!thread.offer(() -> claim(digest, answer))) {
      answer.complete(new ClaimResult.Unavailable("too many claims are pending on this node"));
    }
    return answer;
  }

  @Override
  public void claim(
      TeamId team, ServiceId service, String key, RequestId request, Consumer<Answer> answer) {
    claim(team, service, key, request).thenAccept(result -> answer.accept(answerOf(result)));
  }

  @Override
  public void finished(
      TeamId team, ServiceId service, String key, RequestId request, Verdict verdict, int status) {
    ClaimKey digest = ClaimKey.of(team, service, key);
    thread.execute(
        () -> {
          coordinator.finished(digest, verdict, status, now());
          scheduleTick();
        });
  }

  /**
   * Writes recorded outcomes at once, because the node is shutting down.
   *
   * @return future that completes once everything is written; it does not complete while the store
   *     is unavailable
   */
  public CompletableFuture<Void> flush() {
    thread.execute(
        () -> {
          coordinator.flush();
          flushing = true;
          completeFlushIfDone();
        });
    return flushed.copy();
  }

  private void claim(ClaimKey key, CompletableFuture<ClaimResult> answer) {
    long claim = ++lastClaim;
    openClaims.put(claim, answer);
    perform(coordinator.claim(claim, key, now()));
  }

  private void perform(List<ClaimAction> actions) {
    actions.forEach(this::perform);
    scheduleTick();
  }

  private void perform(ClaimAction action) {
    if (action instanceof ClaimAction.Read read) {
      read(read);
    } else if (action instanceof ClaimAction.Swap swap) {
      swap(swap);
    } else if (action instanceof ClaimAction.Answer answer) {
      openClaims.remove(answer.claim()).complete(answer.result());
    }
  }

  private void read(ClaimAction.Read read) {
    startCall(
        () ->
            store
                .read(keyOf(read.bucket()))
                .thenApply(ClaimManager::bucketOf)
                .thenApply(
                    bucket -> () -> coordinator.read(read.bucket(), read.call(), bucket, now())),
        read.bucket(),
        read.call());
  }

  private void swap(ClaimAction.Swap swap) {
    byte[] value = BucketCodec.encode(swap.entries());
    startCall(
        () ->
            store
                .compareAndSwap(keyOf(swap.bucket()), swap.expectedRevision(), value)
                .thenApply(result -> swapped(swap, result)),
        swap.bucket(),
        swap.call());
  }

  private Supplier<List<ClaimAction>> swapped(
      ClaimAction.Swap swap, PlatformStore.SwapResult result) {
    ClaimBucket current = bucketOf(result.current());
    return () -> coordinator.swapped(swap.bucket(), swap.call(), result.swapped(), current, now());
  }

  /** Starts a call to the store and handles its result on the event thread. */
  private void startCall(
      Supplier<CompletableFuture<Supplier<List<ClaimAction>>>> storeCall, int bucket, long call) {
    CompletableFuture<Supplier<List<ClaimAction>>> answer;
    try {
      answer = storeCall.get();
    } catch (RuntimeException e) {
      answer = CompletableFuture.failedFuture(e);
    }
    answer.whenComplete(
        (step, failure) -> {
          if (failure != null) {
            LOG.debug("call for claims bucket {} failed: {}", bucket, failure.getMessage());
          }
          thread.execute(
              () ->
                  perform(failure == null ? step.get() : coordinator.failed(bucket, call, now())));
        });
  }

  private void completeFlushIfDone() {
    if (flushing && !coordinator.hasWork()) {
      flushed.complete(null);
    }
  }

  private void scheduleTick() {
    completeFlushIfDone();
    if (!ticking && coordinator.hasWork()) {
      ticking = true;
      thread.after(tickPeriod, this::runTick);
    }
  }

  private void runTick() {
    ticking = false;
    perform(coordinator.tick(now()));
  }

  private ClaimTime now() {
    long epochSeconds = TimeUnit.MILLISECONDS.toSeconds(System.currentTimeMillis());
    return new ClaimTime(clock.nanos(), epochSeconds);
  }

  private String keyOf(int bucket) {
    return "claims/" + settings.buckets() + "/" + bucket;
  }

  private static ClaimBucket bucketOf(PlatformStore.Versioned versioned) {
    return new ClaimBucket(versioned.revision(), BucketCodec.decode(versioned.value()));
  }

  private static Answer answerOf(ClaimResult result) {
    if (result instanceof ClaimResult.AlreadyClaimed already) {
      return already
          .outcome()
          .map(ClaimManager::outcomeKnown)
          .orElseGet(ClaimManager::outcomeUnknown);
    }
    if (result instanceof ClaimResult.Unavailable unavailable) {
      return new Answer.Refused(ErrorCode.CLAIM_UNAVAILABLE, unavailable.detail(), Verdict.NOT_RUN);
    }
    return new Answer.Claimed();
  }

  private static Answer outcomeKnown(ClaimResult.Outcome outcome) {
    Verdict verdict = outcome.ran() ? Verdict.RAN : Verdict.MAY_HAVE_RUN;
    String detail = "an earlier request with this key ended with status " + outcome.status();
    return new Answer.Refused(ErrorCode.ALREADY_CLAIMED, detail, verdict);
  }

  private static Answer outcomeUnknown() {
    String detail = "an earlier request holds this key and its outcome is not recorded";
    return new Answer.Refused(ErrorCode.ALREADY_CLAIMED, detail, Verdict.MAY_HAVE_RUN);
  }
}
