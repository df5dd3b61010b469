package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Models which parts of prompts each engine probably has in its prefix cache.
 *
 * <p>It replays the prompts that this router granted to each engine against a cache of the engine's
 * size, which evicts the least recently used parts as the engine does. Engines are identified by
 * {@link UpstreamInstance#number}. Not thread-safe.
 */
public final class PrefixCacheModel {
  /**
   * Twice the number of engines in the largest fleet; the engines without requests for longest are
   * evicted first.
   */
  private static final int MAX_ENGINES = 2_048;

  /** Responses of running requests fill the rest of an engine's memory. */
  private static final double CACHED_PARTS_SHARE = 0.85;

  /**
   * Long compared to the time between two requests with the same part, short compared to the
   * changes of load over a day.
   */
  private static final Duration PREFILL_HALF_LIFE = Duration.ofSeconds(4);

  private static final float LOAD_FACTOR = 0.75f;
  private static final long HASH_MULTIPLIER = 0xBF58476D1CE4E5B9L;

  private final Map<Integer, EngineCache> engines =
      new LinkedHashMap<>(MAX_ENGINES / 64, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, EngineCache> eldest) {
          return size() > MAX_ENGINES;
        }
      };

  private long memoryTokens;

  private PrefixCacheModel() {}

  /**
   * Creates a model without cached parts.
   *
   * @return the model
   */
  public static PrefixCacheModel create() {
    return new PrefixCacheModel();
  }

  /**
   * Sets the size of an engine's memory.
   *
   * @param tokens tokens of prompts and responses that fit in it
   */
  public void engineMemoryTokens(long tokens) {
    memoryTokens = tokens;
  }

  /**
   * Records that a prompt is sent to an engine.
   *
   * @param profile profile of the request
   * @param engine number of the engine
   * @param nowNanos monotonic time
   */
  public void recordSent(PromptProfile profile, int engine, long nowNanos) {
    if (profile.parts().isEmpty()) {
      return;
    }
    EngineCache memory = engines.computeIfAbsent(engine, number -> new EngineCache(nowNanos));
    long tokens = profile.parts().stream().mapToLong(PromptProfile.Part::tokens).sum();
    memory.prefill(tokens - memory.cachedTokens(profile.parts()), nowNanos);
    memory.recordUse(profile.parts(), (long) (CACHED_PARTS_SHARE * memoryTokens));
  }

  /**
   * Records the parts that an engine lists as cached, which covers prompts that were sent before
   * this router started.
   *
   * @param engine number of the engine
   * @param parts parts that the engine caches
   * @param nowNanos monotonic time
   */
  public void recordListing(int engine, List<PromptProfile.Part> parts, long nowNanos) {
    engines
        .computeIfAbsent(engine, number -> new EngineCache(nowNanos))
        .addAsLeastRecentlyUsed(parts);
  }

  /**
   * Returns the decayed number of tokens that an engine had to prefill lately.
   *
   * @param engine number of the engine
   * @param nowNanos monotonic time
   * @return tokens, with a half-life of a few seconds
   */
  public double recentPrefillTokens(int engine, long nowNanos) {
    EngineCache memory = engines.get(engine);
    return memory == null ? 0 : memory.recentPrefillTokens(nowNanos);
  }

  /**
   * Estimates the number of prompt tokens that an engine need not prefill.
   *
   * @param profile profile of the request
   * @param engine number of the engine
   * @return tokens of the leading parts that the engine probably caches
   */
  public long cachedTokens(PromptProfile profile, int engine) {
    EngineCache memory = engines.get(engine);
    return memory == null ? 0 : memory.cachedTokens(profile.parts());
  }

  /**
   * Returns the order in which all routers prefer engines for a prompt, by rendezvous hashing of
   * its last shared part.
   *
   * @param profile profile of the request
   * @param engines numbers of the engines that may be chosen
   * @return rank by engine number, 0 for the most preferred; empty if the prompt has no parts
   */
  public static Map<Integer, Integer> ranks(PromptProfile profile, Collection<Integer> engines) {
    if (profile.parts().isEmpty()) {
      return Map.of();
    }
    long hash = profile.affinityHash();
    List<Integer> order = new ArrayList<>(engines);
    order.sort(Comparator.comparingLong(engine -> weight(hash, engine)));
    Map<Integer, Integer> ranks = new HashMap<>();
    for (int engine : order) {
      ranks.put(engine, ranks.size());
    }
    return ranks;
  }

  /**
   * Returns the engine that all routers prefer for a prompt.
   *
   * @param hash hash of the prompt, see {@link PromptProfile#affinityHash}
   * @param engines the engines that may be chosen, at least one
   * @return the engine with rank 0
   */
  public static UpstreamInstance preferred(long hash, Collection<UpstreamInstance> engines) {
    return engines.stream()
        .min(Comparator.comparingLong(engine -> weight(hash, engine.number())))
        .orElseThrow();
  }

  private static long weight(long hash, int engine) {
    long mixed = (hash ^ engine) * HASH_MULTIPLIER;
    mixed ^= mixed >>> Integer.SIZE;
    return mixed * HASH_MULTIPLIER;
  }

  /** Parts that one engine caches, the least recently used first. */
  private static final class EngineCache {
    private final LinkedHashMap<Long, Long> tokensByPart = new LinkedHashMap<>();
    private long tokens;
    private DecayingAmount prefill;

    EngineCache(long nowNanos) {
      prefill = new DecayingAmount(0, nowNanos, PREFILL_HALF_LIFE);
    }

    void prefill(long newTokens, long nowNanos) {
      prefill = prefill.plus(newTokens, nowNanos);
    }

    double recentPrefillTokens(long nowNanos) {
      return prefill.valueAt(nowNanos);
    }

    /**
     * Adds the parts in reverse order, so that later parts are evicted before earlier ones: a part
     * is of no use without those before it.
     */
    void recordUse(List<PromptProfile.Part> parts, long capacity) {
      for (int i = parts.size() - 1; i >= 0; i--) {
        PromptProfile.Part part = parts.get(i);
        Long known = tokensByPart.remove(part.hash());
        tokens += part.tokens() - (known == null ? 0 : known);
        tokensByPart.put(part.hash(), part.tokens());
      }
      Iterator<Long> eldest = tokensByPart.values().iterator();
      while (tokens > capacity && eldest.hasNext()) {
        tokens -= eldest.next();
        eldest.remove();
      }
    }

    /** Adds parts as less recently used than all parts that are known already. */
    void addAsLeastRecentlyUsed(List<PromptProfile.Part> parts) {
      Map<Long, Long> moreRecent = new LinkedHashMap<>(tokensByPart);
      tokensByPart.clear();
      parts.forEach(part -> tokensByPart.put(part.hash(), part.tokens()));
      moreRecent.keySet().forEach(tokensByPart::remove);
      tokensByPart.putAll(moreRecent);
      tokens = tokensByPart.values().stream().mapToLong(Long::longValue).sum();
    }

    long cachedTokens(List<PromptProfile.Part> parts) {
      long cached = 0;
      for (PromptProfile.Part part : parts) {
        if (!tokensByPart.containsKey(part.hash())) {
          return cached;
        }
        cached += part.tokens();
      }
      return cached;
    }
  }
}
