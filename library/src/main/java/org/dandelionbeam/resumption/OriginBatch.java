package org.dandelionbeam.resumption;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The origins of streams that have yet to be written to the store. The first one is written at
 * once, those that follow soon together. Not thread-safe.
 */
public final class OriginBatch {
  /** Records in one call; the store takes no more. */
  public static final int MAX_RECORDS = 32;

  /** Callers no longer wait for a stream that began earlier. */
  private static final Duration MAX_AGE = Duration.ofSeconds(10);

  private static final int MAX_WAITING = 2_048;

  /** Time between two calls of a router; all routers together make at most 500 a second. */
  private static final Duration INTERVAL_PER_ROUTER = Duration.ofMillis(2);

  private static final Duration MIN_INTERVAL = Duration.ofMillis(20);

  private final Map<StreamId, Entry> waiting = new LinkedHashMap<>();
  private boolean inProgress;
  private boolean everFlushed;
  private long flushedNanos;
  private long droppedCount;

  private OriginBatch() {}

  /**
   * Creates a batch without records.
   *
   * @return the batch
   */
  public static OriginBatch create() {
    return new OriginBatch();
  }

  /**
   * Adds a record.
   *
   * @param id the stream
   * @param origin what began it
   * @param nowNanos monotonic time
   */
  public void add(StreamId id, StreamOrigin origin, long nowNanos) {
    waiting.put(id, new Entry(origin, nowNanos));
    Iterator<Entry> oldest = waiting.values().iterator();
    while (waiting.size() > MAX_WAITING) {
      oldest.next();
      oldest.remove();
      droppedCount++;
    }
  }

  /**
   * Returns how long to wait until the next call.
   *
   * @param routers number of routers of the fleet
   * @param nowNanos monotonic time
   * @return time until {@link #take} should be called, zero if that is now
   */
  public Duration timeUntilDue(int routers, long nowNanos) {
    Duration interval = INTERVAL_PER_ROUTER.multipliedBy(routers);
    long intervalNanos = Math.max(interval.toNanos(), MIN_INTERVAL.toNanos());
    long left = everFlushed ? intervalNanos - (nowNanos - flushedNanos) : 0;
    return Duration.ofNanos(Math.max(0, left));
  }

  /**
   * Takes records to be written with one call, whose end has to be recorded.
   *
   * @param nowNanos monotonic time
   * @return the oldest records, none if a call is in progress
   */
  public Map<StreamId, StreamOrigin> take(long nowNanos) {
    dropExpired(nowNanos);
    Map<StreamId, StreamOrigin> taken = new LinkedHashMap<>();
    if (inProgress || waiting.isEmpty()) {
      return taken;
    }
    for (Map.Entry<StreamId, Entry> entry : waiting.entrySet()) {
      if (taken.size() < MAX_RECORDS) {
        taken.put(entry.getKey(), entry.getValue().origin);
      }
    }
    inProgress = true;
    everFlushed = true;
    flushedNanos = nowNanos;
    return taken;
  }

  private void dropExpired(long nowNanos) {
    int before = waiting.size();
    waiting.values().removeIf(entry -> nowNanos - entry.atNanos > MAX_AGE.toNanos());
    droppedCount += before - waiting.size();
  }

  /**
   * Records the end of a call.
   *
   * @param taken the records of the call
   * @param written whether the store has acknowledged them; otherwise they are written again
   */
  public void recordEnd(Map<StreamId, StreamOrigin> taken, boolean written) {
    inProgress = false;
    if (written) {
      waiting.keySet().removeAll(taken.keySet());
    }
  }

  /**
   * Tells whether records wait to be written.
   *
   * @return false if all were written or dropped
   */
  public boolean isEmpty() {
    return waiting.isEmpty();
  }

  /**
   * Returns the number of records that could not be written in time.
   *
   * @return number since the start
   */
  public long droppedCount() {
    return droppedCount;
  }

  private record Entry(StreamOrigin origin, long atNanos) {}
}
