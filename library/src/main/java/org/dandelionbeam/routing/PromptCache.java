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
 * Which engines probably hold which parts of prompts.
 *
 * <p>It replays what this router and its peers sent to each engine against a memory of the engine's
 * size, from which the least recently used parts are dropped as the engine drops them. Not
 * thread-safe.
 */
public final class PromptCache {
  /** Twice the engines of the largest fleet; those without requests for longest go first. */
  private static final int MAX_ENGINES = 2_048;

  /** Answers of running requests fill the rest of an engine's memory. */
  private static final double PARTS_SHARE = 0.85;

  /** Long against the time between two requests with the same part, short against a day's waves. */
  private static final Duration READ_HALF_LIFE = Duration.ofSeconds(4);

  private static final float LOAD_FACTOR = 0.75f;
  private static final long MIX = 0xBF58476D1CE4E5B9L;

  private final Map<Integer, EngineMemory> engines =
      new LinkedHashMap<>(MAX_ENGINES / 64, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, EngineMemory> eldest) {
          return size() > MAX_ENGINES;
        }
      };

  private final List<SentPrompt> unreported = new ArrayList<>();
  private long memoryTokens;

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
   * Sets the size of an engine's memory.
   *
   * @param tokens tokens of prompts and answers that it holds
   */
  public void engineMemory(long tokens) {
    memoryTokens = tokens;
  }

  /**
   * Notes that this router sends a prompt to an engine.
   *
   * @param shape the prompt
   * @param engine number of the engine
   * @param nowNanos monotonic time
   */
  public void sent(PromptShape shape, int engine, long nowNanos) {
    if (!shape.parts().isEmpty()) {
      SentPrompt prompt = new SentPrompt(engine, shape.parts());
      heard(prompt, nowNanos);
      unreported.add(prompt);
    }
  }

  /**
   * Notes that a peer sent a prompt to an engine.
   *
   * @param prompt the prompt
   * @param nowNanos monotonic time
   */
  public void heard(SentPrompt prompt, long nowNanos) {
    EngineMemory memory =
        engines.computeIfAbsent(prompt.engine(), engine -> new EngineMemory(nowNanos));
    long unread = prompt.tokens() - memory.heldTokens(prompt.parts());
    memory.read(unread, nowNanos);
    memory.use(prompt.parts(), (long) (PARTS_SHARE * memoryTokens));
  }

  /**
   * Takes the parts that an engine says it holds, for what was sent before this router started.
   *
   * @param engine number of the engine
   * @param parts the parts
   * @param nowNanos monotonic time
   */
  public void listed(int engine, List<PromptShape.Part> parts, long nowNanos) {
    engines.computeIfAbsent(engine, number -> new EngineMemory(nowNanos)).addOlder(parts);
  }

  /**
   * Returns how much an engine had to read lately.
   *
   * @param engine number of the engine
   * @param nowNanos monotonic time
   * @return tokens, of which half is forgotten every few seconds
   */
  public double recentlyRead(int engine, long nowNanos) {
    EngineMemory memory = engines.get(engine);
    return memory == null ? 0 : memory.recentlyRead(nowNanos);
  }

  /**
   * Returns the prompts that this router sent since the last call, to report them.
   *
   * @return the prompts in the order of their sending
   */
  public List<SentPrompt> takeSent() {
    List<SentPrompt> taken = List.copyOf(unreported);
    unreported.clear();
    return taken;
  }

  /**
   * Estimates the tokens that an engine need not read.
   *
   * @param shape the prompt
   * @param engine number of the engine
   * @return tokens of the leading parts that it probably holds
   */
  public long heldTokens(PromptShape shape, int engine) {
    EngineMemory memory = engines.get(engine);
    return memory == null ? 0 : memory.heldTokens(shape.parts());
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

  /** Parts that one engine holds, the least recently used first. */
  private static final class EngineMemory {
    private final LinkedHashMap<Long, Long> tokensByPart = new LinkedHashMap<>();
    private long tokens;
    private FadingAmount read;

    EngineMemory(long nowNanos) {
      read = new FadingAmount(0, nowNanos, READ_HALF_LIFE);
    }

    void read(long unread, long nowNanos) {
      read = read.plus(unread, nowNanos);
    }

    double recentlyRead(long nowNanos) {
      return read.at(nowNanos);
    }

    /** A part is of no use without those before it, so the earlier ones are kept longer. */
    void use(List<PromptShape.Part> parts, long capacity) {
      for (int i = parts.size() - 1; i >= 0; i--) {
        PromptShape.Part part = parts.get(i);
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

    /** Parts that were used since then are newer. */
    void addOlder(List<PromptShape.Part> parts) {
      Map<Long, Long> newer = new LinkedHashMap<>(tokensByPart);
      tokensByPart.clear();
      parts.forEach(part -> tokensByPart.put(part.hash(), part.tokens()));
      newer.keySet().forEach(tokensByPart::remove);
      tokensByPart.putAll(newer);
      tokens = tokensByPart.values().stream().mapToLong(Long::longValue).sum();
    }

    long heldTokens(List<PromptShape.Part> parts) {
      long held = 0;
      for (PromptShape.Part part : parts) {
        if (!tokensByPart.containsKey(part.hash())) {
          return held;
        }
        held += part.tokens();
      }
      return held;
    }
  }
}
