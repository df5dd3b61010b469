package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * A prompt that a router sent to an engine.
 *
 * @param engine number of the engine
 * @param parts parts of the prompt in order, starting with the first
 */
public record SentPrompt(int engine, List<PromptProfile.Part> parts) {

  /** Copies the parts. */
  public SentPrompt {
    parts = List.copyOf(requireNonNull(parts, "parts"));
  }

  /**
   * Returns the size of the prompt in tokens.
   *
   * @return sum over all parts
   */
  public long tokens() {
    return parts.stream().mapToLong(PromptProfile.Part::tokens).sum();
  }
}
