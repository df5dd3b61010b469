package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;

/**
 * Size of a model request and the parts of its prompt in order.
 *
 * @param promptTokens tokens of the whole prompt
 * @param outputTokens most tokens that the answer may have
 * @param parts parts of the prompt from its beginning; requests share the earlier ones
 */
public record PromptProfile(long promptTokens, long outputTokens, List<Part> parts) {

  /** A request that is no model request. */
  public static final PromptProfile NONE = new PromptProfile(0, 0, List.of());

  /** Longest usual wait for the first output; plain services answer well within it. */
  private static final Duration TYPICAL_FIRST_OUTPUT_TIME = Duration.ofMillis(1_200);

  /** Time between the tokens of an answer when an engine is well filled. */
  private static final Duration TYPICAL_OUTPUT_TOKEN_TIME = Duration.ofMillis(20);

  private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;

  /** Copies the parts. */
  public PromptProfile {
    parts = List.copyOf(requireNonNull(parts, "parts"));
  }

  /**
   * One part of a prompt.
   *
   * @param hash hash of the part's id
   * @param tokens tokens of this part
   */
  public record Part(long hash, long tokens) {}

  /**
   * Returns the hash by which a part is known.
   *
   * @param id id of the part
   * @return its hash
   */
  public static long hashOf(String id) {
    long mixed = requireNonNull(id, "id").hashCode() * HASH_FACTOR;
    return mixed ^ (mixed >>> Integer.SIZE);
  }

  /**
   * Tells whether this is a model request.
   *
   * @return true if it has tokens
   */
  public boolean isModelRequest() {
    return promptTokens > 0;
  }

  /**
   * Returns the tokens that other requests may have too.
   *
   * @return tokens of all parts but the last, which belongs to the request itself or its session
   */
  public long sharedTokens() {
    long sum = 0;
    for (int i = 0; i + 1 < parts.size(); i++) {
      sum += parts.get(i).tokens();
    }
    return sum;
  }

  /**
   * Returns the tokens that an engine mostly has to read; those before are held already.
   *
   * @return tokens of the last part, of the whole prompt if it has no parts
   */
  public long unsharedTokens() {
    return parts.isEmpty() ? promptTokens : parts.get(parts.size() - 1).tokens();
  }

  /**
   * Returns how long a request takes mostly, at an engine under load.
   *
   * @return time to the end of the answer
   */
  public Duration expectedDuration() {
    return TYPICAL_FIRST_OUTPUT_TIME.plus(TYPICAL_OUTPUT_TOKEN_TIME.multipliedBy(outputTokens));
  }

  /**
   * Returns the cost by which teams share the engines.
   *
   * @return tokens read, and tokens generated counted twice
   */
  public long costTokens() {
    return promptTokens + 2 * outputTokens;
  }
}
