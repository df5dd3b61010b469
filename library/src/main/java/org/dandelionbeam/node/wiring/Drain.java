package org.dandelionbeam.node.wiring;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Waits for running requests to end, up to a deadline. */
final class Drain {
  private static final Logger LOG = LoggerFactory.getLogger(Drain.class);
  private static final long POLL_MILLIS = 20;

  private final long deadlineNanos;

  private Drain(long deadlineNanos) {
    this.deadlineNanos = deadlineNanos;
  }

  static Drain within(Duration limit) {
    return new Drain(System.nanoTime() + limit.toNanos());
  }

  /**
   * Polls a count until it is zero; returns false if the deadline passes or the thread is
   * interrupted first.
   */
  boolean awaitZero(Supplier<CompletableFuture<Integer>> count) {
    while (await(count.get(), 1) > 0) {
      if (System.nanoTime() - deadlineNanos >= 0 || !sleep(POLL_MILLIS)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Waits for a future up to a timeout; returns the fallback if it fails or does not complete in
   * time.
   */
  static <T> T await(CompletableFuture<T> future, T fallback, Duration limit) {
    try {
      return future.get(limit.toNanos(), TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return fallback;
    } catch (ExecutionException | TimeoutException e) {
      LOG.info("shutdown step failed or timed out: {}", e.toString());
      return fallback;
    }
  }

  private static int await(CompletableFuture<Integer> future, int fallback) {
    return await(future, fallback, Duration.ofSeconds(1));
  }

  /** Sleeps for a time, or until the thread is interrupted. */
  static void pause(Duration time) {
    sleep(time.toMillis());
  }

  private static boolean sleep(long millis) {
    try {
      Thread.sleep(millis);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
