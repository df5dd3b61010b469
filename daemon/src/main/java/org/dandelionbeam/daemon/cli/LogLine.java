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
 * Log line in which a router records a decision on a request or a change of its own state.
 *
 * @param router name of the router
 * @param event name of the event
 * @param writtenMs wall-clock time of writing, in milliseconds
 * @param request id of the request, empty for a state change
 * @param sinceArrivalMs milliseconds since the request's arrival, 0 for a state change
 * @param fields the other fields as {@code name=value} in the order of the line, then the detail
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

  /** Result of parsing one line of a file. */
  sealed interface ParseResult {
    /** A complete line of a router. */
    record Parsed(LogLine line) implements ParseResult {}

    /** A router's line whose end is missing. */
    record Truncated() implements ParseResult {}

    /** A line that was not written by a router. */
    record Unrelated() implements ParseResult {}
  }

  /**
   * Parses a line; text before the JSON object is ignored.
   *
   * @param text the line, possibly with a prefix
   * @return the parsed line, or why there is none
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
    List<String> fields =
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
        detail.isEmpty() ? fields : append(fields, detail));
  }

  private static List<String> append(List<String> fields, String detail) {
    List<String> all = new ArrayList<>(fields);
    all.add(detail);
    return all;
  }

  /** Returns whether a field has a given value. */
  boolean hasFieldValue(String name) {
    return fields.stream().anyMatch(field -> field.endsWith("=" + name));
  }
}
