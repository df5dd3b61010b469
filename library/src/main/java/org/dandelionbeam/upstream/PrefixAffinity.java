package org.dandelionbeam.upstream;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dandelionbeam.base.UpstreamId;

/**
 * Bounded index of the engines that probably hold a prompt prefix in their cache.
 *
 * <p>It is filled from the requests that this node sent and corrected by the cache events of the
 * engines. An eviction that arrives late does not undo a more recent use. After a gap in the events
 * of an engine, its older entries are uncertain and rank behind the others. Not thread-safe.
 */
public final class PrefixAffinity {
  private static final int MAX_ENGINES_PER_PREFIX = 4;

  /** Cache events are assumed to arrive at most this long after the change. */
  private static final long MAX_EVENT_LAG_NANOS = Duration.ofSeconds(5).toNanos();

  private static final long LIFETIME_NANOS = Duration.ofMinutes(10).toNanos();
  private static final float LOAD_FACTOR = 0.75f;

  private final Map<Long, Map<UpstreamId, LastUse>> prefixes;
  private final Map<UpstreamId, EventStreamState> events = new HashMap<>();

  private PrefixAffinity(int maxPrefixes) {
    prefixes =
        new LinkedHashMap<>(MAX_ENGINES_PER_PREFIX, LOAD_FACTOR, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Map<UpstreamId, LastUse>> eldest) {
            return size() > maxPrefixes;
          }
        };
  }

  /**
   * Returns an empty index.
   *
   * @param maxPrefixes largest number of prefixes; the least recently used is evicted first
   * @return the index
   */
  public static PrefixAffinity of(int maxPrefixes) {
    return new PrefixAffinity(maxPrefixes);
  }

  /**
   * Records that an engine answered a request with a prefix.
   *
   * @param prefixHash hash of the prefix, 0 for none
   * @param upstream the engine
   * @param nowNanos monotonic time
   */
  public void recordUse(long prefixHash, UpstreamId upstream, long nowNanos) {
    requireNonNull(upstream, "upstream");
    if (prefixHash != 0) {
      addHolder(prefixHash, upstream, nowNanos);
    }
  }

  /**
   * Corrects the index by a cache event of an engine.
   *
   * @param event the event; ignored unless its sequence number is above that of the last event
   * @param nowNanos monotonic time of its arrival
   */
  public void apply(CacheEvent event, long nowNanos) {
    EventStreamState stream =
        events.computeIfAbsent(event.upstream(), key -> new EventStreamState());
    if (!stream.accept(event.sequence(), nowNanos)) {
      return;
    }
    switch (event.change()) {
      case STORED -> addHolder(event.prefixHash(), event.upstream(), nowNanos);
      case EVICTED -> evict(event.prefixHash(), event.upstream(), nowNanos);
      case CLEARED -> stream.lastClearedNanos = nowNanos - MAX_EVENT_LAG_NANOS;
      default -> throw new IllegalArgumentException("unknown change " + event.change());
    }
  }

  /**
   * Discards all entries of an engine, because it restarted or was removed.
   *
   * @param upstream the engine
   * @param nowNanos monotonic time
   */
  public void removeEngine(UpstreamId upstream, long nowNanos) {
    EventStreamState stream = events.computeIfAbsent(upstream, key -> new EventStreamState());
    stream.lastClearedNanos = nowNanos;
    stream.sequenceKnown = false;
  }

  /**
   * Returns the engines that probably hold a prefix.
   *
   * @param prefixHash hash of the prefix, 0 for none
   * @param nowNanos monotonic time
   * @return at most four engines, the most probable first
   */
  public List<UpstreamId> holders(long prefixHash, long nowNanos) {
    Map<UpstreamId, LastUse> engines = prefixes.get(prefixHash);
    if (engines == null) {
      return List.of();
    }
    engines.entrySet().removeIf(entry -> isExpired(entry.getKey(), entry.getValue(), nowNanos));
    return engines.entrySet().stream()
        .sorted(
            Comparator.comparing((Map.Entry<UpstreamId, LastUse> e) -> isUncertain(e))
                .thenComparing(e -> nowNanos - e.getValue().seenNanos())
                .thenComparing(Map.Entry::getKey))
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Returns the number of prefixes in the index.
   *
   * @return the count
   */
  public int size() {
    return prefixes.size();
  }

  private void addHolder(long prefixHash, UpstreamId upstream, long nowNanos) {
    Map<UpstreamId, LastUse> engines =
        prefixes.computeIfAbsent(prefixHash, key -> new HashMap<>(MAX_ENGINES_PER_PREFIX));
    engines.put(upstream, new LastUse(nowNanos));
    if (engines.size() > MAX_ENGINES_PER_PREFIX) {
      engines.entrySet().stream()
          .max(Comparator.comparingLong(entry -> nowNanos - entry.getValue().seenNanos()))
          .map(Map.Entry::getKey)
          .ifPresent(engines::remove);
    }
  }

  private void evict(long prefixHash, UpstreamId upstream, long nowNanos) {
    Map<UpstreamId, LastUse> engines = prefixes.get(prefixHash);
    if (engines == null) {
      return;
    }
    LastUse lastUse = engines.get(upstream);
    if (lastUse != null && nowNanos - lastUse.seenNanos() >= MAX_EVENT_LAG_NANOS) {
      engines.remove(upstream);
    }
  }

  private boolean isExpired(UpstreamId upstream, LastUse lastUse, long nowNanos) {
    EventStreamState stream = events.get(upstream);
    boolean cleared =
        stream != null
            && stream.lastClearedNanos != null
            && lastUse.seenNanos() - stream.lastClearedNanos <= 0;
    return cleared || nowNanos - lastUse.seenNanos() > LIFETIME_NANOS;
  }

  private boolean isUncertain(Map.Entry<UpstreamId, LastUse> entry) {
    EventStreamState stream = events.get(entry.getKey());
    return stream != null
        && stream.lastGapNanos != null
        && entry.getValue().seenNanos() - stream.lastGapNanos < 0;
  }

  private record LastUse(long seenNanos) {}

  /** State of the cache event stream of one engine. */
  private static final class EventStreamState {
    private boolean sequenceKnown;
    private long lastSequence;
    private Long lastGapNanos;
    private Long lastClearedNanos;

    boolean accept(long sequence, long nowNanos) {
      if (sequenceKnown && sequence <= lastSequence) {
        return false;
      }
      if (sequenceKnown && sequence > lastSequence + 1) {
        lastGapNanos = nowNanos;
      }
      sequenceKnown = true;
      lastSequence = sequence;
      return true;
    }
  }
}
