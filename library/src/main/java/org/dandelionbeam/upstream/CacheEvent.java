package org.dandelionbeam.upstream;

import static java.util.Objects.requireNonNull;

import org.dandelionbeam.base.UpstreamId;

/**
 * Change of the prefix cache of an engine. The engine publishes it late, and events may be lost.
 *
 * @param upstream the engine
 * @param sequence sequence number that the engine gave the event; a gap means that events were lost
 * @param change kind of change
 * @param prefixHash hash of the prompt prefix; ignored for {@link Change#CLEARED}
 */
public record CacheEvent(UpstreamId upstream, long sequence, Change change, long prefixHash) {

  /** Checks that no component is null. */
  public CacheEvent {
    requireNonNull(upstream, "upstream");
    requireNonNull(change, "change");
  }

  /** Kind of change of the cache. */
  public enum Change {
    /** The prefix was added. */
    STORED,
    /** The prefix was evicted. */
    EVICTED,
    /** The whole cache was emptied. */
    CLEARED
  }
}
