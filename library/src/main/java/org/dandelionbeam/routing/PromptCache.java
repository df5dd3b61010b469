package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which engines probably hold which parts of prompts.
 *
 * <p>It knows what this router sent, and takes each part's preferred engine, which all routers
 * agree on, as a holder too. Not thread-safe.
 */
public final class PromptCache {
  /** Enough for all sessions of some minutes; the least recently used go first. */
  private static final int MAX_PARTS = 8_192;

  /** An engine under load drops a part that was not used for some seconds. */
  private static final Duration HOLD_TIME = Duration.ofSeconds(10);

  private static final float LOAD_FACTOR = 0.75f;
  private static final long MIX = 0xBF58476D1CE4E5B9L;

  private final Map<Long, Map<Integer, Long>> holders =
      new LinkedHashMap<>(MAX_PARTS / 8, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Map<Integer, Long>> eldest) {
          return size() > MAX_PARTS;
        }
      };

  private PromptCache() {}

  /**
   * Returns an empty memory.
   *
   * @return the memory
   */
  public static PromptCache create() {
    return new PromptCache();
  }

  /**
   * Notes that an engine reads a prompt.
   *
   * @param shape the prompt
   * @param engine number of the engine
   * @param nowNanos monotonic time
   */
  public void sent(PromptShape shape, int engine, long nowNanos) {
    for (PromptShape.Part part : shape.parts()) {
      holders.computeIfAbsent(part.hash(), hash -> new HashMap<>(2)).put(engine, nowNanos);
    }
  }

  /**
   * Estimates the tokens that an engine need not read.
   *
   * @param shape the prompt
   * @param engine number of the engine
   * @param home whether the engine is the preferred one of the prompt
   * @param nowNanos monotonic time
   * @return tokens of the leading parts that it probably holds
   */
  public long heldTokens(PromptShape shape, int engine, boolean home, long nowNanos) {
    long held = 0;
    int last = shape.parts().size() - 1;
    for (int i = 0; i <= last; i++) {
      PromptShape.Part part = shape.parts().get(i);
      boolean preferred = home && i < last;
      if (!preferred && !holds(part, engine, nowNanos)) {
        return held;
      }
      held += part.tokens();
    }
    return held;
  }

  private boolean holds(PromptShape.Part part, int engine, long nowNanos) {
    Map<Integer, Long> known = holders.get(part.hash());
    Long used = known == null ? null : known.get(engine);
    return used != null && nowNanos - used < HOLD_TIME.toNanos();
  }

  /**
   * Returns the order in which all routers prefer engines for a prompt, by rendezvous hashing of
   * its last shared part.
   *
   * @param shape the prompt
   * @param engines numbers of the engines that may be chosen
   * @return rank by engine, 0 for the first; empty if the prompt has no parts
   */
  public static Map<Integer, Integer> ranks(PromptShape shape, Collection<Integer> engines) {
    if (shape.parts().isEmpty()) {
      return Map.of();
    }
    long hash = shape.parts().get(Math.max(0, shape.parts().size() - 2)).hash();
    List<Integer> order = new ArrayList<>(engines);
    order.sort(Comparator.comparingLong(engine -> weight(hash, engine)));
    Map<Integer, Integer> ranks = new HashMap<>();
    for (int engine : order) {
      ranks.put(engine, ranks.size());
    }
    return ranks;
  }

  private static long weight(long hash, int engine) {
    long mixed = (hash ^ engine) * MIX;
    mixed ^= mixed >>> Integer.SIZE;
    return mixed * MIX;
  }
}
