package org.dandelionbeam.routing.wiring;

/**
 * Keeps the decisions on waiting requests to a part of the event loop's time.
 *
 * <p>Each poll looks at all waiting requests. When many wait and each event asked for a poll, the
 * loop would do nothing else, and callers that left would be noticed late.
 */
final class PollThrottle {
  /** Polls get a quarter of the time at most. */
  private static final int PAUSE_FACTOR = 3;

  private long nextPollNanos;

  PollThrottle(long nowNanos) {
    nextPollNanos = nowNanos;
  }

  /** Notes a poll; the next one waits three times as long as it took. */
  void recordPoll(long startNanos, long endNanos) {
    nextPollNanos = endNanos + PAUSE_FACTOR * (endNanos - startNanos);
  }

  /** Returns how long the next poll has to wait, 0 if it may come now. */
  long waitNanos(long nowNanos) {
    return Math.max(0, nextPollNanos - nowNanos);
  }
}
