package org.dandelionbeam.daemon.session;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Map;

/**
 * Response as a caller received it.
 *
 * @param head status line and headers, one per line; empty if none were received
 * @param body body without transfer coding
 * @param complete whether the response was received to its end
 */
record Reply(String head, String body, boolean complete) {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String ERROR_EVENT = "event: error\ndata: ";

  static Reply complete(String head, String body) {
    return new Reply(head, body, true);
  }

  static Reply truncated(String head, String body) {
    return new Reply(head, body, false);
  }

  static String headOf(HttpResponse response) {
    StringBuilder head = new StringBuilder();
    head.append(response.protocolVersion()).append(' ').append(response.status()).append('\n');
    for (Map.Entry<String, String> header : response.headers()) {
      head.append(header.getKey()).append(": ").append(header.getValue()).append('\n');
    }
    return head.toString();
  }

  int status() {
    return head.isEmpty() ? 0 : Integer.parseInt(head.split(" ")[1]);
  }

  boolean isProblem() {
    return head.contains("content-type: application/problem+json\n");
  }

  /** Returns the problem in the body or in an error event of the body. */
  JsonNode problem() {
    int event = body.indexOf(ERROR_EVENT);
    if (event < 0 && !isProblem()) {
      return MissingNode.getInstance();
    }
    String json = event < 0 ? body : body.substring(event + ERROR_EVENT.length());
    return parse(json);
  }

  JsonNode json() {
    return parse(body);
  }

  List<String> eventIds() {
    return body.lines().filter(l -> l.startsWith("id: ")).map(l -> l.substring(4)).toList();
  }

  /** Returns the text of a chat completion, streamed or whole. */
  String completion() {
    if (!body.startsWith("id: ")) {
      return json().at("/choices/0/message/content").asText();
    }
    StringBuilder text = new StringBuilder();
    body.lines()
        .filter(line -> line.startsWith("data: {"))
        .map(line -> parse(line.substring("data: ".length())))
        .forEach(data -> text.append(data.at("/choices/0/delta/content").asText()));
    return text.toString();
  }

  private static JsonNode parse(String json) {
    try {
      return JSON.readTree(json);
    } catch (JsonProcessingException e) {
      return MissingNode.getInstance();
    }
  }
}
