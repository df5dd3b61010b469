package org.dandelionbeam.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.StringJoiner;

/** Fields of a chat completion request that the engine uses. */
record EnginePrompt(String model, String text, boolean stream, int maxTokens) {
  private static final int DEFAULT_MAX_TOKENS = 64;

  static EnginePrompt of(JsonNode json) {
    StringJoiner text = new StringJoiner("\n");
    for (JsonNode message : json.path("messages")) {
      text.add(message.path("content").asText());
    }
    return new EnginePrompt(
        json.path("model").asText(""),
        text.toString(),
        json.path("stream").asBoolean(false),
        json.path("max_tokens").asInt(DEFAULT_MAX_TOKENS));
  }

  String[] words() {
    return text.isBlank() ? new String[0] : text.trim().split("\\s+");
  }
}
