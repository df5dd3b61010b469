package org.dandelionbeam.entry.wiring;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FleetException;

/**
 * Fields of a chat completions request that the router evaluates.
 *
 * @param model name of the model
 * @param stream whether the caller wants server-sent events
 * @param prefixHash hash of the first 256 characters of the prompt
 * @param costHint estimated number of prompt and output tokens
 */
record ChatRequestBody(String model, boolean stream, long prefixHash, double costHint) {
  private static final int PREFIX_CHARACTERS = 256;
  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final int DEFAULT_MAX_TOKENS = 64;
  private static final ObjectMapper MAPPER =
      new ObjectMapper(
          JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build());

  static ChatRequestBody parse(byte[] body) {
    JsonNode root = readObject(body);
    JsonNode model = root.path("model");
    require(model.isTextual() && !model.asText().isBlank(), "model must be a text");
    JsonNode messages = root.path("messages");
    require(
        messages.isArray() && !messages.isEmpty(), "messages must be an array that is not empty");
    StringBuilder prompt = new StringBuilder();
    for (JsonNode message : messages) {
      require(message.path("role").isTextual(), "every message must have a role, a string");
      require(!message.path("content").isMissingNode(), "every message must have content");
      prompt.append(message.path("content").asText()).append('\n');
    }
    JsonNode stream = root.path("stream");
    require(stream.isMissingNode() || stream.isBoolean(), "stream must be true or false");
    JsonNode maxTokens = root.path("max_tokens");
    boolean maxTokensFits = maxTokens.canConvertToInt() && maxTokens.asInt() > 0;
    require(maxTokens.isMissingNode() || maxTokensFits, "max_tokens must be an integer above 0");
    double hint =
        prompt.length() / (double) CHARACTERS_PER_TOKEN + maxTokens.asInt(DEFAULT_MAX_TOKENS);
    return new ChatRequestBody(model.asText(), stream.asBoolean(false), hashPrefix(prompt), hint);
  }

  static double tokensOf(byte[] answer) {
    try {
      JsonNode usage = MAPPER.readTree(answer).path("usage");
      return usage.path("prompt_tokens").asDouble(0) + usage.path("completion_tokens").asDouble(0);
    } catch (IOException e) {
      return 0;
    }
  }

  private static JsonNode readObject(byte[] body) {
    try {
      StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body));
      JsonNode root = MAPPER.readTree(body);
      require(root != null && root.isObject(), "the body must be a JSON object");
      return root;
    } catch (CharacterCodingException e) {
      throw new FleetException(ErrorCode.MALFORMED_REQUEST, "the body is not UTF-8");
    } catch (IOException e) {
      throw new FleetException(ErrorCode.MALFORMED_REQUEST, "the body is not well-formed JSON");
    }
  }

  private static long hashPrefix(CharSequence prompt) {
    String prefix = prompt.subSequence(0, Math.min(PREFIX_CHARACTERS, prompt.length())).toString();
    return MurmurHash3.hash128x64(prefix.getBytes(StandardCharsets.UTF_8))[0];
  }

  private static void require(boolean holds, String detail) {
    if (!holds) {
      throw new FleetException(ErrorCode.INVALID_BODY, detail);
    }
  }
}
