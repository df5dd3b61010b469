package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;

/**
 * Token counts of a model request and the parts of its prompt, by which engines cache it.
 *
 * @param promptTokens tokens of the whole prompt
 * @param outputTokens maximum number of tokens of the response
 * @param parts parts of the prompt in order; requests may have the leading parts in common
 */
public record PromptProfile(long promptTokens, long outputTokens, List<Part> parts) {

  /** Profile of a request to a plain service. */
  public static final PromptProfile NONE = new PromptProfile(0, 0, List.of());

  /** Upper end of the usual time to the first output; plain services respond well within it. */
  private static final Duration TYPICAL_FIRST_OUTPUT_TIME = Duration.ofMillis(1_200);

  /** Time between two output tokens of an engine under high load. */
  private static final Duration TYPICAL_OUTPUT_TOKEN_TIME = Duration.ofMillis(20);

  private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;

  /** Copies the parts. */
  public PromptProfile {
    parts = List.copyOf(requireNonNull(parts, "parts"));
  }

  /**
   * A part of a prompt that engines cache as a unit.
   *
   * @param hash hash of the part's identifier
   * @param tokens number of tokens of the part
   */
  public record Part(long hash, long tokens) {

    @Override
    public String toString() {
      return Long.toHexString(hash);
    }
  }

  /**
   * Returns the hash that identifies a part.
   *
   * @param id identifier of the part
   * @return the hash
   */
  public static long hashOf(String id) {
    long mixed = requireNonNull(id, "id").hashCode() * HASH_FACTOR;
    return mixed ^ (mixed >>> Integer.SIZE);
  }

  /**
   * Tells whether this is a model request.
   *
   * @return true if the prompt has tokens
   */
  public boolean isModelRequest() {
    return promptTokens > 0;
  }

  /**
   * Returns the number of prompt tokens that other requests may have in common with this one.
   *
   * @return tokens of all parts but the last, which is specific to the request or its session
   */
  public long sharedTokens() {
    long sum = 0;
    for (Part part : sharedParts()) {
      sum += part.tokens();
    }
    return sum;
  }

  /**
   * Returns the parts that other requests may have in common with this one.
   *
   * @return all parts but the last
   */
  public List<Part> sharedParts() {
    return parts.subList(0, Math.max(0, parts.size() - 1));
  }

  /**
   * Returns the hash by which engines are preferred, so that prompts with the same shared parts go
   * to the same engine.
   *
   * @return hash of the last shared part, or of the only part; 0 if the prompt has no parts
   */
  public long affinityHash() {
    return parts.isEmpty() ? 0 : parts.get(Math.max(0, parts.size() - 2)).hash();
  }

  /**
   * Returns the number of prompt tokens that an engine usually has to prefill, as the parts before
   * are cached.
   *
   * @return tokens of the last part, or of the whole prompt if it has no parts
   */
  public long unsharedTokens() {
    return parts.isEmpty() ? promptTokens : parts.get(parts.size() - 1).tokens();
  }

  /**
   * Returns the typical duration of the request at an engine under load.
   *
   * @return time from sending to the end of the response
   */
  public Duration expectedDuration() {
    return TYPICAL_FIRST_OUTPUT_TIME.plus(TYPICAL_OUTPUT_TOKEN_TIME.multipliedBy(outputTokens));
  }

  /**
   * Returns the cost of the request in the usage of its team.
   *
   * @return prompt tokens, plus twice the maximum of output tokens
   */
  public long costTokens() {
    return promptTokens + 2 * outputTokens;
  }
}
