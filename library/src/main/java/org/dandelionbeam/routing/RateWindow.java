package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Times of events within a sliding window. Not thread-safe. */
public final class RateWindow {
  private final long windowNanos;
  private final Deque<Long> times = new ArrayDeque<>();

  private RateWindow(Duration window) {
    windowNanos = window.toNanos();
  }

  /**
   * Returns a window without events.
   *
   * @param window its length
   * @return the window
   */
  public static RateWindow of(Duration window) {
    return new RateWindow(window);
  }

  /**
   * Adds an event.
   *
   * @param nowNanos monotonic time
   */
  public void add(long nowNanos) {
    times.addLast(nowNanos);
  }

  /**
   * Counts the events of the window that ends now.
   *
   * @param nowNanos monotonic time
   * @return the count
   */
  public int count(long nowNanos) {
    while (!times.isEmpty() && nowNanos - times.peekFirst() > windowNanos) {
      times.removeFirst();
    }
    return times.size();
  }
}
