package org.dandelionbeam.standins;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Least-recently-used cache of prompt prefixes in blocks, with an event log that is delayed and has
 * gaps in its sequence numbers.
 */
final class PrefixCache {
  private static final int BLOCK_WORDS = 16;
  private static final int MAX_EVENTS = 10_000;
  private static final double EVENT_LOSS_PROBABILITY = 0.1;

  private final Map<String, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final Deque<Event> events = new ArrayDeque<>();
  private final SplittableRandom random;
  private final int maxBlocks;
  private final long eventLagNanos;
  private long sequence;

  PrefixCache(int maxBlocks, long eventLagNanos, long seed) {
    this.maxBlocks = maxBlocks;
    this.eventLagNanos = eventLagNanos;
    random = new SplittableRandom(seed);
  }

  /** Stores a prompt's blocks and returns how many of its first words were already cached. */
  int addPrompt(String[] words, long nowNanos) {
    int cachedWords = 0;
    boolean contiguous = true;
    StringBuilder prefix = new StringBuilder();
    for (int end = BLOCK_WORDS; end <= words.length; end += BLOCK_WORDS) {
      for (int i = end - BLOCK_WORDS; i < end; i++) {
        prefix.append(words[i]).append(' ');
      }
      String block = AnswerText.checksum(prefix.toString());
      contiguous = blocks.get(block) != null && contiguous;
      cachedWords = contiguous ? end : cachedWords;
      storeBlock(block, nowNanos);
    }
    return cachedWords;
  }

  void clear() {
    blocks.clear();
    events.clear();
  }

  ObjectNode eventsAfter(long after, long nowNanos) {
    ArrayNode visible = Json.array();
    for (Event event : events) {
      if (event.sequence > after && nowNanos - event.atNanos >= eventLagNanos) {
        visible.add(
            Json.object()
                .put("sequence", event.sequence)
                .put("type", event.type)
                .put("block", event.block));
      }
    }
    ObjectNode report = Json.object();
    report.set("events", visible);
    return report;
  }

  private void storeBlock(String block, long nowNanos) {
    if (blocks.put(block, true) == null) {
      recordEvent("stored", block, nowNanos);
    }
    if (blocks.size() > maxBlocks) {
      String oldest = blocks.keySet().iterator().next();
      blocks.remove(oldest);
      recordEvent("removed", oldest, nowNanos);
    }
  }

  private void recordEvent(String type, String block, long nowNanos) {
    sequence++;
    if (random.nextDouble() < EVENT_LOSS_PROBABILITY) {
      return;
    }
    events.addLast(new Event(sequence, type, block, nowNanos));
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }

  private record Event(long sequence, String type, String block, long atNanos) {}
}
