package org.dandelionbeam.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import java.util.List;

/** One exchange of an engine: the progress of its generation and the call that reads the tokens. */
final class EngineExchange {
  private static final int NO_RESET = Integer.MAX_VALUE;

  private final String id;
  private final String requestId;
  private final String model;
  private final int promptTokens;
  private final List<String> tokens;
  private final boolean streamed;
  private int generated;
  private int sent;
  private int resetAfterTokens = NO_RESET;
  private long prefilledAtNanos;
  private boolean cancelled;
  private Call reader;

  EngineExchange(
      String id, String requestId, EnginePrompt prompt, List<String> tokens, boolean streamed) {
    this.id = id;
    this.requestId = requestId;
    this.model = prompt.model();
    this.promptTokens = prompt.words().length;
    this.tokens = tokens;
    this.streamed = streamed;
  }

  String id() {
    return id;
  }

  String requestId() {
    return requestId;
  }

  boolean isStreamed() {
    return streamed;
  }

  void prefillUntil(long nanos) {
    prefilledAtNanos = nanos;
  }

  boolean isPrefilled(long nowNanos) {
    return nowNanos - prefilledAtNanos >= 0;
  }

  void generate() {
    generated = Math.min(generated + 1, tokens.size());
  }

  boolean isGenerated() {
    return generated == tokens.size();
  }

  void cancel() {
    cancelled = true;
  }

  boolean isFinished() {
    return cancelled || isGenerated();
  }

  void resetMidBody() {
    resetAfterTokens = tokens.size() / 2;
  }

  /** Attaches a call that reads the tokens after an offset; resets the previous reader. */
  void attach(Call call, int offset) {
    if (reader != null && reader != call) {
      reader.reset();
    }
    reader = call;
    sent = Math.min(Math.max(offset, 0), tokens.size());
  }

  void detach(Channel channel) {
    if (isReadBy(channel)) {
      reader = null;
    }
  }

  boolean isReadBy(Channel channel) {
    return reader != null && reader.channel() == channel;
  }

  boolean hasReader() {
    return reader != null;
  }

  void resetReader() {
    if (reader != null) {
      reader.reset();
    }
  }

  /** Writes the generated tokens that the reader lacks while its connection is writable. */
  void writeGenerated() {
    if (reader == null || cancelled) {
      return;
    }
    while (sent < generated && sent < resetAfterTokens && reader.channel().isWritable()) {
      sent++;
      reader.writeEvent(sent, chunk(sent));
    }
    if (sent >= resetAfterTokens) {
      resetAfterTokens = NO_RESET;
      reader.resetAfterFlush();
      reader = null;
    } else if (sent == tokens.size()) {
      reader.endStream();
      reader = null;
    } else {
      reader.channel().flush();
    }
  }

  Answer fullResponse() {
    ObjectNode message =
        Json.object().put("role", "assistant").put("content", String.join("", tokens));
    ObjectNode choice = Json.object().put("index", 0);
    choice.set("message", message);
    choice.put("finish_reason", "stop");
    ObjectNode body = commonFields("chat.completion");
    body.set("choices", Json.array().add(choice));
    body.set("usage", usage());
    return Answer.of(200, body).with(Answer.REQUEST_ID, requestId).with(Answer.EXCHANGE_ID, id);
  }

  private ObjectNode chunk(int offset) {
    boolean last = offset == tokens.size();
    ObjectNode choice = Json.object().put("index", 0);
    choice.set("delta", Json.object().put("content", tokens.get(offset - 1)));
    choice.put("finish_reason", last ? "stop" : null);
    ObjectNode body = commonFields("chat.completion.chunk");
    body.set("choices", Json.array().add(choice));
    if (last) {
      body.set("usage", usage());
    }
    return body;
  }

  private ObjectNode commonFields(String object) {
    return Json.object().put("id", id).put("object", object).put("model", model);
  }

  private ObjectNode usage() {
    return Json.object()
        .put("prompt_tokens", promptTokens)
        .put("completion_tokens", tokens.size())
        .put("total_tokens", promptTokens + tokens.size());
  }
}
