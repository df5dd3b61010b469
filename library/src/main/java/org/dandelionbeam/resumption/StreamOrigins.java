package org.dandelionbeam.resumption;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The origins of the streams that began at this router lately. Not thread-safe. */
public final class StreamOrigins {
  /** Longer than callers wait for a stream. */
  private static final Duration MAX_AGE = Duration.ofSeconds(60);

  private static final int MAX_STREAMS = 8_192;

  private final Map<StreamId, Entry> streams = new LinkedHashMap<>();

  private StreamOrigins() {}

  /**
   * Creates a memory without streams.
   *
   * @return the memory
   */
  public static StreamOrigins create() {
    return new StreamOrigins();
  }

  /**
   * Records the origin of a stream.
   *
   * @param id the stream
   * @param origin what began it
   * @param nowNanos monotonic time
   */
  public void record(StreamId id, StreamOrigin origin, long nowNanos) {
    streams.remove(id);
    streams.put(id, new Entry(origin, nowNanos));
    Iterator<Entry> oldest = streams.values().iterator();
    while (streams.size() > MAX_STREAMS || isExpired(streams, nowNanos)) {
      oldest.next();
      oldest.remove();
    }
  }

  private static boolean isExpired(Map<StreamId, Entry> streams, long nowNanos) {
    Entry first = streams.values().iterator().next();
    return nowNanos - first.atNanos > MAX_AGE.toNanos();
  }

  /**
   * Finds the origin of a stream.
   *
   * @param id the stream
   * @return what began it, empty if it did not begin at this router or is forgotten
   */
  public Optional<StreamOrigin> find(StreamId id) {
    return Optional.ofNullable(streams.get(id)).map(Entry::origin);
  }

  private record Entry(StreamOrigin origin, long atNanos) {}
}
