package org.dandelionbeam.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
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
   * @return tokens of the leading parts that it probably holds
   */
  public long heldTokens(PromptShape shape, int engine, boolean home) {
    long held = 0;
    int last = shape.parts().size() - 1;
    for (int i = 0; i <= last; i++) {
      PromptShape.Part part = shape.parts().get(i);
      Map<Integer, Long> known = holders.get(part.hash());
      boolean holds = known != null && known.containsKey(engine);
      if (!holds && !(home && i < last)) {
        return held;
      }
      held += part.tokens();
    }
    return held;
  }

  /**
   * Returns the engine that all routers prefer for a prompt, by rendezvous hashing.
   *
   * @param shape the prompt
   * @param engines numbers of the engines that may be chosen
   * @return number of the engine, 0 if the prompt has no parts or there is no engine
   */
  public static int home(PromptShape shape, Collection<Integer> engines) {
    if (shape.parts().isEmpty()) {
      return 0;
    }
    long hash = shape.parts().get(Math.min(1, shape.parts().size() - 1)).hash();
    int best = 0;
    long bestWeight = Long.MIN_VALUE;
    for (int engine : engines) {
      long weight = (hash ^ engine) * MIX;
      weight ^= weight >>> Integer.SIZE;
      weight *= MIX;
      if (weight > bestWeight) {
        bestWeight = weight;
        best = engine;
      }
    }
    return best;
  }
}
