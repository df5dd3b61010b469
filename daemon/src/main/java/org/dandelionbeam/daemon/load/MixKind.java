package org.dandelionbeam.daemon.load;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Objects;
import java.util.StringJoiner;
import java.util.random.RandomGenerator;

/**
 * Kind of request of a mix.
 *
 * @param name name in the report
 * @param type what is sent and how the response is checked
 * @param share its share of the team's requests, relative to the other kinds
 * @param model model of a completion
 * @param promptWords range of the length of a completion's prompt, in words
 * @param maxTokens range of the token limit of a completion
 * @param method HTTP method of a call
 * @param path path of a call; {@code {id}} becomes the id of the request
 * @param body body of a call; {@code {id}} becomes the id of the request
 * @param idempotencyKey whether an {@code Idempotency-Key} is sent
 */
public record MixKind(
    String name,
    Type type,
    int share,
    String model,
    Range promptWords,
    Range maxTokens,
    String method,
    String path,
    String body,
    boolean idempotencyKey) {
  private static final String ID_PLACEHOLDER = "{id}";
  private static final int VOCABULARY_SIZE = 5_000;

  /** Checks the values and sets defaults for missing optional ones. */
  public MixKind {
    if (name == null || type == null || share < 1) {
      throw new IllegalArgumentException("kind: expected name, type and share >= 1");
    }
    if (type == Type.CALL && (method == null || path == null || !path.startsWith("/"))) {
      throw new IllegalArgumentException("kind " + name + ": expected method and path");
    }
    if (type != Type.CALL && model == null) {
      throw new IllegalArgumentException("kind " + name + ": expected model");
    }
    promptWords = Objects.requireNonNullElse(promptWords, new Range(8, 64));
    maxTokens = Objects.requireNonNullElse(maxTokens, new Range(8, 64));
    body = Objects.requireNonNullElse(body, "");
  }

  RequestSpec createRequest(MixTeam team, String id, RandomGenerator random) {
    if (type == Type.CALL) {
      return new RequestSpec(
          team,
          this,
          id,
          "",
          method,
          path.replace(ID_PLACEHOLDER, id),
          body.replace(ID_PLACEHOLDER, id));
    }
    String prompt = prompt(id, random);
    ObjectNode chat = JsonNodeFactory.instance.objectNode().put("model", model);
    chat.putArray("messages").addObject().put("role", "user").put("content", prompt);
    chat.put("stream", type == Type.STREAM).put("max_tokens", maxTokens.draw(random));
    return new RequestSpec(team, this, id, prompt, "POST", "/v1/chat/completions", chat.toString());
  }

  /** Returns the service for which the fairness gap is computed, or the model for completions. */
  String serviceName() {
    return type == Type.CALL
        ? path.replaceFirst("^/v1/services/([^/]+).*", "$1")
        : "model " + model;
  }

  private String prompt(String id, RandomGenerator random) {
    StringJoiner words = new StringJoiner(" ");
    words.add(id);
    int length = promptWords.draw(random);
    for (int i = 1; i < length; i++) {
      words.add("w" + random.nextInt(VOCABULARY_SIZE));
    }
    return words.toString();
  }

  /** What is sent and how the response is checked. */
  public enum Type {
    /** Chat completion without streaming. */
    WHOLE,
    /** Chat completion with a streamed response. */
    STREAM,
    /** Call of a plain service. */
    CALL
  }

  /**
   * Closed range from which a value is drawn uniformly.
   *
   * @param min smallest value
   * @param max largest value
   */
  public record Range(int min, int max) {

    /** Checks that the range is positive and not empty. */
    public Range {
      if (min < 1 || max < min) {
        throw new IllegalArgumentException("expected 1 <= min <= max, got " + min + ", " + max);
      }
    }

    int draw(RandomGenerator random) {
      return random.nextInt(min, max + 1);
    }
  }
}
