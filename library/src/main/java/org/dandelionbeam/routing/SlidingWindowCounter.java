package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Counts events within a sliding time window. Not thread-safe. */
public final class SlidingWindowCounter {
  private final long windowNanos;
  private final Deque<Long> eventTimes = new ArrayDeque<>();

  private SlidingWindowCounter(Duration window) {
    windowNanos = window.toNanos();
  }

  /**
   * Creates a counter without events.
   *
   * @param window length of the window
   * @return the counter
   */
  public static SlidingWindowCounter of(Duration window) {
    return new SlidingWindowCounter(window);
  }

  /**
   * Records an event.
   *
   * @param nowNanos monotonic time
   */
  public void add(long nowNanos) {
    eventTimes.addLast(nowNanos);
  }

  /**
   * Returns the number of events in the window that ends now.
   *
   * @param nowNanos monotonic time
   * @return the number of events
   */
  public int count(long nowNanos) {
    while (!eventTimes.isEmpty() && nowNanos - eventTimes.peekFirst() > windowNanos) {
      eventTimes.removeFirst();
    }
    return eventTimes.size();
  }
}
