package org.dandelionbeam.daemon.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.dandelionbeam.standins.AnswerText;

/** Request that was sent: collects its response, checks it and reports its latencies. */
final class InFlightRequest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int STATUS_OK = 200;
  private static final int FIRST_ERROR_STATUS = 400;

  private final RequestSpec spec;
  private final long intendedNanos;
  private final RequestListener listener;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final StringBuilder text = new StringBuilder();
  private final EventStreamParser events = new EventStreamParser(this::onEvent);
  private int status;
  private boolean streamed;
  private boolean requestIdMatches;
  private boolean complete;
  private boolean ended;
  private boolean offsetsOutOfOrder;
  private long lastOffset;
  private long lastTokenNanos;
  private double cost = 1;
  private int tokens;
  private JsonNode problem = MissingNode.getInstance();

  InFlightRequest(RequestSpec spec, long intendedNanos, RequestListener log) {
    this.spec = spec;
    this.intendedNanos = intendedNanos;
    this.listener = log;
  }

  RequestSpec spec() {
    return spec;
  }

  long intendedNanos() {
    return intendedNanos;
  }

  double cost() {
    return cost;
  }

  int tokens() {
    return tokens;
  }

  boolean hasEnded() {
    return ended;
  }

  void onHead(int responseStatus, String contentType, String requestId) {
    status = responseStatus;
    streamed = contentType.startsWith("text/event-stream");
    requestIdMatches = requestId.equals(spec.id());
  }

  void onContent(ByteBuf bytes) {
    if (streamed) {
      events.read(bytes);
      return;
    }
    if (lastTokenNanos == 0 && status == STATUS_OK) {
      recordToken();
    }
    byte[] part = new byte[bytes.readableBytes()];
    bytes.readBytes(part);
    body.writeBytes(part);
  }

  void onEnd() {
    if (ended) {
      return;
    }
    if (!streamed) {
      readBody();
    }
    Outcome outcome = outcome();
    ended = true;
    listener.onEnd(this, outcome, System.nanoTime());
  }

  void fail(String code) {
    if (!ended) {
      ended = true;
      listener.onEnd(this, Outcome.failed(code), System.nanoTime());
    }
  }

  private void readBody() {
    JsonNode json = parse(body.toString(StandardCharsets.UTF_8));
    if (status >= FIRST_ERROR_STATUS) {
      problem = json;
    } else {
      text.append(json.at("/choices/0/message/content").asText());
      complete = true;
      readUsage(json);
    }
  }

  private void onEvent(EventStreamParser.Event event) {
    if (event.data().equals("[DONE]")) {
      complete = true;
      return;
    }
    JsonNode json = parse(event.data());
    if (event.type().equals("error")) {
      problem = json;
      return;
    }
    recordToken();
    checkOffset(event.id());
    text.append(json.at("/choices/0/delta/content").asText());
    readUsage(json);
  }

  private void recordToken() {
    long now = System.nanoTime();
    if (lastTokenNanos == 0) {
      listener.onFirstToken(this, now - intendedNanos);
    } else {
      listener.onNextToken(this, now - lastTokenNanos);
    }
    lastTokenNanos = now;
  }

  /** Checks that the offset, the number at the end of the event id, grows by one per event. */
  private void checkOffset(String id) {
    int start = id.length();
    while (start > 0 && Character.isDigit(id.charAt(start - 1))) {
      start--;
    }
    long offset = start == id.length() ? -1 : Long.parseLong(id.substring(start));
    offsetsOutOfOrder |= offset != lastOffset + 1;
    lastOffset = offset;
  }

  private void readUsage(JsonNode json) {
    JsonNode usage = json.path("usage");
    if (usage.isObject()) {
      tokens = usage.path("completion_tokens").asInt();
      cost = usage.path("prompt_tokens").asDouble() + tokens;
    }
  }

  private Outcome outcome() {
    if (!problem.isMissingNode() || status >= FIRST_ERROR_STATUS) {
      String code = problem.path("code").asText("HTTP_" + status);
      return Outcome.refused(code, problem.path("verdict").asText("NONE"));
    }
    if (!complete) {
      return Outcome.failed("INCOMPLETE");
    }
    if (!requestIdMatches) {
      return Outcome.wrong("OTHER_REQUEST_ID");
    }
    if (offsetsOutOfOrder) {
      return Outcome.wrong("OFFSETS");
    }
    boolean completion = spec.kind().type() != MixKind.Type.CALL;
    if (completion && !AnswerText.isWhole(spec.prompt(), text.toString())) {
      return Outcome.wrong("OTHER_OR_PARTIAL_CONTENT");
    }
    return Outcome.answered();
  }

  private static JsonNode parse(String json) {
    try {
      return JSON.readTree(json);
    } catch (JsonProcessingException e) {
      return MissingNode.getInstance();
    }
  }
}
