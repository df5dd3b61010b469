package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * What an upstream gets to work on, by which requests are compared when upstreams crash.
 *
 * @param digest identifies the whole request, empty if it isn't known
 * @param prompt profile of the prompt, {@link PromptProfile#NONE} for a plain service
 */
public record RequestContent(Optional<RequestDigest> digest, PromptProfile prompt) {

  /** Checks the values. */
  public RequestContent {
    requireNonNull(digest, "digest");
    requireNonNull(prompt, "prompt");
  }

  /**
   * Returns the content of a request of which only the prompt is known.
   *
   * @param prompt profile of the prompt
   * @return the content
   */
  public static RequestContent ofPrompt(PromptProfile prompt) {
    return new RequestContent(Optional.empty(), prompt);
  }

  /**
   * Returns what may crash the upstreams that run the request.
   *
   * @return the request itself, if it is known, and the parts of its prompt that others share
   */
  public List<Suspect> suspects() {
    List<Suspect> suspects = new ArrayList<>();
    digest.map(Suspect::of).ifPresent(suspects::add);
    prompt.sharedParts().forEach(part -> suspects.add(Suspect.of(part)));
    return suspects;
  }

  @Override
  public String toString() {
    String request = digest.map(RequestDigest::toString).orElse("unknown");
    return prompt.isModelRequest() ? request + "/" + prompt.sharedParts() : request;
  }
}
