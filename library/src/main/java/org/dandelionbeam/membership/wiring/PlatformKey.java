package org.dandelionbeam.membership.wiring;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.dandelionbeam.base.MonotonicClock;
import org.dandelionbeam.membership.CompareAndSwapLoop;
import org.dandelionbeam.runtime.EventThread;
import org.dandelionbeam.store.PlatformStore;
import org.dandelionbeam.store.PlatformStore.SwapResult;
import org.dandelionbeam.store.PlatformStore.Versioned;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One key of the platform's key-value store: makes the calls of its compare-and-swap loop and
 * watches the key.
 */
final class PlatformKey<V> {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformKey.class);
  private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(30);
  private static final long WATCH_RETRY_NANOS = Duration.ofSeconds(3).toNanos();

  private final String key;
  private final CompareAndSwapLoop<V> loop;
  private final MembershipCodec.Codec<V> codec;
  private final PlatformStore store;
  private final EventThread thread;
  private final MonotonicClock clock;
  private final Consumer<V> adopt;
  private boolean watchInProgress;
  private long nextWatchNanos;
  private long adoptedRevision;

  PlatformKey(
      String key,
      CompareAndSwapLoop<V> loop,
      MembershipCodec.Codec<V> codec,
      PlatformStore store,
      EventThread thread,
      MonotonicClock clock,
      Consumer<V> adopt) {
    this.key = key;
    this.loop = loop;
    this.codec = codec;
    this.store = store;
    this.thread = thread;
    this.clock = clock;
    this.adopt = adopt;
    nextWatchNanos = clock.nanos();
  }

  /** Makes the calls that are due; runs on the thread of membership. */
  void poll(boolean watchWanted) {
    loop.nextCall(clock.nanos()).ifPresent(this::call);
    if (watchWanted && !watchInProgress && clock.nanos() - nextWatchNanos >= 0) {
      watch();
    }
  }

  private void call(CompareAndSwapLoop.Call<V> call) {
    if (call instanceof CompareAndSwapLoop.Swap<V> swap) {
      byte[] bytes = codec.encode(swap.value());
      handleOnThread(
          store.compareAndSwap(key, swap.expectedRevision(), bytes),
          this::onSwapped,
          this::onCallFailed);
    } else {
      handleOnThread(store.read(key), this::onRead, this::onCallFailed);
    }
  }

  private void onRead(Versioned answer) {
    V value = codec.decode(answer.revision(), answer.value());
    loop.onRead(answer.revision(), value, clock.nanos());
    adoptIfNewer(answer.revision(), value);
  }

  private void onSwapped(SwapResult result) {
    Versioned current = result.current();
    V value = codec.decode(current.revision(), current.value());
    loop.onSwapped(result.swapped(), current.revision(), value, clock.nanos());
    adoptIfNewer(current.revision(), value);
  }

  private void adoptIfNewer(long revision, V value) {
    if (revision > adoptedRevision) {
      adoptedRevision = revision;
      adopt.accept(value);
    }
  }

  private void onCallFailed(Throwable cause) {
    LOG.debug("call to the platform for key {} failed: {}", key, cause.toString());
    loop.onFailed(clock.nanos());
  }

  private void watch() {
    watchInProgress = true;
    handleOnThread(
        store.watch(key, adoptedRevision, WATCH_TIMEOUT), this::onWatched, this::onWatchFailed);
  }

  private void onWatched(Versioned answer) {
    watchInProgress = false;
    nextWatchNanos = clock.nanos();
    if (answer.revision() > adoptedRevision) {
      V value = codec.decode(answer.revision(), answer.value());
      loop.learn(answer.revision(), value);
      adoptIfNewer(answer.revision(), value);
    }
  }

  private void onWatchFailed(Throwable cause) {
    LOG.debug("watch of key {} of the platform failed: {}", key, cause.toString());
    watchInProgress = false;
    nextWatchNanos = clock.nanos() + WATCH_RETRY_NANOS;
  }

  private <T> void handleOnThread(
      CompletableFuture<T> call, Consumer<T> success, Consumer<Throwable> failure) {
    call.whenComplete(
        (answer, cause) ->
            thread.execute(
                () -> {
                  if (cause != null) {
                    failure.accept(cause);
                  } else {
                    runOrFail(() -> success.accept(answer), failure);
                  }
                }));
  }

  private static void runOrFail(Runnable step, Consumer<Throwable> failure) {
    try {
      step.run();
    } catch (RuntimeException e) {
      LOG.warn("could not process a response of the platform", e);
      failure.accept(e);
    }
  }
}
