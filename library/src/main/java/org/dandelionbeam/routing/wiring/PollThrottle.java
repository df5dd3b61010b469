package org.dandelionbeam.routing.wiring;

/**
 * Limits the share of the event loop's time that decisions on waiting requests may take.
 *
 * <p>Each poll evaluates all waiting requests. If many requests wait and each event causes a poll,
 * the loop does nothing else, and disconnected callers are noticed late.
 */
final class PollThrottle {
  /** Pause after a poll, in durations of that poll; polls take at most a quarter of the time. */
  private static final int PAUSE_FACTOR = 3;

  private long nextPollNanos;

  PollThrottle(long nowNanos) {
    nextPollNanos = nowNanos;
  }

  /** Records a poll; the next one has to wait three times as long as this one took. */
  void recordPoll(long startNanos, long endNanos) {
    nextPollNanos = endNanos + PAUSE_FACTOR * (endNanos - startNanos);
  }

  /** Returns the nanoseconds until the next poll is allowed, 0 if it is allowed now. */
  long waitNanos(long nowNanos) {
    return Math.max(0, nextPollNanos - nowNanos);
  }
}
