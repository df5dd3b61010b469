package org.dandelionbeam.daemon.cli;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A line that a router wrote of a decision or of a change of what it believes.
 *
 * @param router name of the router
 * @param event what happened
 * @param writtenMs time of day of the writing, in milliseconds
 * @param request id of the request, empty for a belief
 * @param sinceArrivalMs time since the request's arrival, 0 for a belief
 * @param fields the other fields as {@code name=value}, in their order
 */
record LogLine(
    String router,
    String event,
    long writtenMs,
    Optional<String> request,
    double sinceArrivalMs,
    List<String> fields) {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Set<String> HEADER_FIELDS =
      Set.of("time", "router", "event", "request", "at_ms", "detail");

  LogLine {
    requireNonNull(router, "router");
    requireNonNull(event, "event");
    requireNonNull(request, "request");
    fields = List.copyOf(fields);
  }

  /** What a line of a file is. */
  sealed interface ParseResult {
    /** A router's line. */
    record Parsed(LogLine line) implements ParseResult {}

    /** The beginning of a router's line, whose end is missing. */
    record Truncated() implements ParseResult {}

    /** A line of another program. */
    record Unrelated() implements ParseResult {}
  }

  /**
   * Reads a line; whatever stands before the JSON object is ignored.
   *
   * @param text the line
   * @return what it is
   */
  static ParseResult parse(String text) {
    int start = text.indexOf("{\"time\":");
    if (start < 0) {
      return new ParseResult.Unrelated();
    }
    try {
      JsonNode node = JSON.readTree(text.substring(start));
      boolean complete = node.has("router") && node.has("event");
      return complete ? new ParseResult.Parsed(of(node)) : new ParseResult.Unrelated();
    } catch (JsonProcessingException e) {
      return new ParseResult.Truncated();
    }
  }

  private static LogLine of(JsonNode node) {
    List<String> facts =
        node.properties().stream()
            .filter(field -> !HEADER_FIELDS.contains(field.getKey()))
            .map(field -> field.getKey() + "=" + field.getValue().asText())
            .toList();
    String detail = node.path("detail").asText();
    return new LogLine(
        node.path("router").asText(),
        node.path("event").asText(),
        node.path("time").asLong(),
        Optional.ofNullable(node.get("request")).map(JsonNode::asText),
        node.path("at_ms").asDouble(),
        detail.isEmpty() ? facts : append(facts, detail));
  }

  private static List<String> append(List<String> facts, String detail) {
    List<String> all = new ArrayList<>(facts);
    all.add(detail);
    return all;
  }

  /** Tells whether one of the facts names something. */
  boolean hasFieldValue(String name) {
    return fields.stream().anyMatch(fact -> fact.endsWith("=" + name));
  }
}
