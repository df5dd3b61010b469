package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * A prompt that a router sent to an engine.
 *
 * @param engine number of the engine
 * @param parts parts of the prompt from its beginning
 */
public record SentPrompt(int engine, List<PromptProfile.Part> parts) {

  /** Copies the parts. */
  public SentPrompt {
    parts = List.copyOf(requireNonNull(parts, "parts"));
  }

  /**
   * Returns the size of the prompt.
   *
   * @return tokens of all parts
   */
  public long tokens() {
    return parts.stream().mapToLong(PromptProfile.Part::tokens).sum();
  }
}
