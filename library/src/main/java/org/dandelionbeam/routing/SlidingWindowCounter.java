package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Times of events within a sliding window. Not thread-safe. */
public final class SlidingWindowCounter {
  private final long windowNanos;
  private final Deque<Long> eventTimes = new ArrayDeque<>();

  private SlidingWindowCounter(Duration window) {
    windowNanos = window.toNanos();
  }

  /**
   * Returns a window without events.
   *
   * @param window its length
   * @return the window
   */
  public static SlidingWindowCounter of(Duration window) {
    return new SlidingWindowCounter(window);
  }

  /**
   * Adds an event.
   *
   * @param nowNanos monotonic time
   */
  public void add(long nowNanos) {
    eventTimes.addLast(nowNanos);
  }

  /**
   * Counts the events of the window that ends now.
   *
   * @param nowNanos monotonic time
   * @return the count
   */
  public int count(long nowNanos) {
    while (!eventTimes.isEmpty() && nowNanos - eventTimes.peekFirst() > windowNanos) {
      eventTimes.removeFirst();
    }
    return eventTimes.size();
  }
}
