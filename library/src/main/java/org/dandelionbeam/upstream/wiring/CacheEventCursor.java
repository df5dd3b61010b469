package org.dandelionbeam.upstream.wiring;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.upstream.CacheEvent;

/** Read position in the cache events of one engine; it is reset when the engine restarts. */
final class CacheEventCursor {
  private static final String PATH = "/v1/cache-events?after=";
  private static final int HEX_RADIX = 16;
  private static final int MAX_SKIPPED_ROUNDS = 64;

  private final UpstreamId upstream;
  private long lastSequence;
  private Long bootId;
  private int nextBackoffRounds = 1;
  private int roundsToSkip;

  CacheEventCursor(UpstreamId upstream) {
    this.upstream = upstream;
  }

  /**
   * Tells whether the events are to be read in this polling round, and counts the round. After each
   * failure in a row the number of skipped rounds doubles.
   */
  boolean isDue() {
    if (roundsToSkip == 0) {
      return true;
    }
    roundsToSkip--;
    return false;
  }

  String path() {
    return PATH + lastSequence;
  }

  void failed() {
    roundsToSkip = nextBackoffRounds;
    nextBackoffRounds = Math.min(2 * nextBackoffRounds, MAX_SKIPPED_ROUNDS);
  }

  /** Returns the new events in order, empty if the response does not have the expected form. */
  Optional<List<CacheEvent>> advance(EngineReply reply) {
    JsonNode events = reply.body().path("events");
    JsonNode boot = reply.body().path("bootId");
    if (!reply.isSuccess() || !events.isArray() || !EngineState.isBootId(boot)) {
      return Optional.empty();
    }
    nextBackoffRounds = 1;
    if (bootId != null && bootId != EngineState.bootId(boot)) {
      bootId = EngineState.bootId(boot);
      lastSequence = 0;
      return Optional.of(List.of());
    }
    bootId = EngineState.bootId(boot);
    List<CacheEvent> newEvents = new ArrayList<>();
    events.forEach(event -> eventOf(event).ifPresent(newEvents::add));
    return Optional.of(newEvents);
  }

  private Optional<CacheEvent> eventOf(JsonNode event) {
    JsonNode sequence = event.path("sequence");
    Optional<CacheEvent.Change> change = changeOf(event.path("type").asText());
    if (!sequence.canConvertToLong() || sequence.asLong() <= lastSequence || change.isEmpty()) {
      return Optional.empty();
    }
    lastSequence = sequence.asLong();
    return Optional.of(
        new CacheEvent(
            upstream, lastSequence, change.get(), prefixHash(event.path("block").asText())));
  }

  private static Optional<CacheEvent.Change> changeOf(String type) {
    return switch (type) {
      case "stored" -> Optional.of(CacheEvent.Change.STORED);
      case "removed", "evicted" -> Optional.of(CacheEvent.Change.EVICTED);
      case "cleared" -> Optional.of(CacheEvent.Change.CLEARED);
      default -> Optional.empty();
    };
  }

  private static long prefixHash(String block) {
    try {
      return Long.parseUnsignedLong(block, HEX_RADIX);
    } catch (NumberFormatException e) {
      return EngineState.hash(block);
    }
  }
}
