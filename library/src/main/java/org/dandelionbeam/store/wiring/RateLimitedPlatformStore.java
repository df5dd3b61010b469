package org.dandelionbeam.store.wiring;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.base.MonotonicClock;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.store.PlatformStore;
import org.dandelionbeam.store.StoreHealth;
import org.dandelionbeam.store.StoreRateLimiter;

/** Platform store that limits the rate of this node's calls and tracks the health. Thread-safe. */
public final class RateLimitedPlatformStore implements PlatformStore {
  private static final long SLOW_THRESHOLD_NANOS = Duration.ofMillis(250).toNanos();

  private final PlatformStore store;
  private final MonotonicClock clock;
  private final StoreRateLimiter rateLimiter;
  private final StoreHealth health = StoreHealth.of(SLOW_THRESHOLD_NANOS);
  private final Counter calls;
  private final Counter failures;
  private final Counter rejectedCalls;

  private RateLimitedPlatformStore(
      PlatformStore store,
      StoreRateLimiter rateLimiter,
      MonotonicClock clock,
      MeterRegistry meters) {
    this.store = requireNonNull(store, "store");
    this.rateLimiter = requireNonNull(rateLimiter, "rateLimiter");
    this.clock = requireNonNull(clock, "clock");
    calls = meters.counter("dandelionbeam.store.calls");
    failures = meters.counter("dandelionbeam.store.failures");
    rejectedCalls = meters.counter("dandelionbeam.store.held.back");
  }

  /**
   * Returns a store that limits the rate of calls to another store.
   *
   * @param store the store that is called
   * @param rateLimiter rate limiter of this node; must not be used elsewhere
   * @param clock clock that measures the latency of calls
   * @param meters registry for the counters
   * @return the rate-limited store
   */
  public static RateLimitedPlatformStore of(
      PlatformStore store,
      StoreRateLimiter rateLimiter,
      MonotonicClock clock,
      MeterRegistry meters) {
    return new RateLimitedPlatformStore(store, rateLimiter, clock, meters);
  }

  /**
   * Returns the health of the store as this node sees it.
   *
   * @return the current state
   */
  public synchronized StoreHealth.State health() {
    return health.state();
  }

  /**
   * Changes the rate limit.
   *
   * @param callsPerSecond sustained rate in calls per second, above 0
   */
  public synchronized void changeRate(double callsPerSecond) {
    rateLimiter.changeRate(callsPerSecond, clock.nanos());
  }

  @Override
  public CompletableFuture<Versioned> read(String key) {
    return rateLimited(() -> store.read(key), Function.identity());
  }

  @Override
  public CompletableFuture<SwapResult> compareAndSwap(
      String key, long expectedRevision, byte[] value) {
    return rateLimited(
        () -> store.compareAndSwap(key, expectedRevision, value), Function.identity());
  }

  @Override
  public CompletableFuture<Versioned> watch(String key, long afterRevision, Duration timeout) {
    return rateLimited(
        () -> store.watch(key, afterRevision, timeout),
        callNanos -> Math.max(0, callNanos - timeout.toNanos()));
  }

  @Override
  public CompletableFuture<Lease> lease(String name, String holder, Duration length) {
    return rateLimited(() -> store.lease(name, holder, length), Function.identity());
  }

  private <T> CompletableFuture<T> rateLimited(
      Supplier<CompletableFuture<T>> call, Function<Long, Long> latencyOf) {
    OptionalLong wait = reserve();
    if (wait.isEmpty()) {
      rejectedCalls.increment();
      String detail =
          "this node has reached its rate limit for calls to the platform's key-value store";
      return CompletableFuture.failedFuture(
          new FleetException(ErrorCode.STORE_UNAVAILABLE, Verdict.NOT_RUN, detail));
    }
    if (wait.getAsLong() == 0) {
      return timed(call, latencyOf);
    }
    var later = CompletableFuture.delayedExecutor(wait.getAsLong(), TimeUnit.NANOSECONDS);
    return CompletableFuture.supplyAsync(() -> timed(call, latencyOf), later)
        .thenCompose(Function.identity());
  }

  private synchronized OptionalLong reserve() {
    return rateLimiter.reserve(clock.nanos());
  }

  private <T> CompletableFuture<T> timed(
      Supplier<CompletableFuture<T>> call, Function<Long, Long> latencyOf) {
    calls.increment();
    long sentNanos = clock.nanos();
    return call.get()
        .whenComplete(
            (value, failure) -> recordResult(failure, latencyOf.apply(clock.nanos() - sentNanos)));
  }

  private synchronized void recordResult(Throwable failure, long latencyNanos) {
    if (failure == null || !isUnavailable(failure)) {
      health.answered(latencyNanos);
    } else {
      failures.increment();
      health.failed();
    }
  }

  private static boolean isUnavailable(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return !(cause instanceof FleetException known) || known.code() == ErrorCode.STORE_UNAVAILABLE;
  }
}
