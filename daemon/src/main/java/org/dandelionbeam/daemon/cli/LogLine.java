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
 * @param facts the other fields as {@code name=value}, in their order
 */
record LogLine(
    String router,
    String event,
    long writtenMs,
    Optional<String> request,
    double sinceArrivalMs,
    List<String> facts) {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Set<String> OWN_FIELDS =
      Set.of("time", "router", "event", "request", "at_ms", "detail");

  LogLine {
    requireNonNull(router, "router");
    requireNonNull(event, "event");
    requireNonNull(request, "request");
    facts = List.copyOf(facts);
  }

  /** What a line of a file is. */
  sealed interface Reading {
    /** A router's line. */
    record Read(LogLine line) implements Reading {}

    /** The beginning of a router's line, whose end is missing. */
    record Cut() implements Reading {}

    /** A line of another program. */
    record Foreign() implements Reading {}
  }

  /**
   * Reads a line; whatever stands before the JSON object is ignored.
   *
   * @param text the line
   * @return what it is
   */
  static Reading read(String text) {
    int start = text.indexOf("{\"time\":");
    if (start < 0) {
      return new Reading.Foreign();
    }
    try {
      JsonNode node = JSON.readTree(text.substring(start));
      boolean complete = node.has("router") && node.has("event");
      return complete ? new Reading.Read(of(node)) : new Reading.Foreign();
    } catch (JsonProcessingException e) {
      return new Reading.Cut();
    }
  }

  private static LogLine of(JsonNode node) {
    List<String> facts =
        node.properties().stream()
            .filter(field -> !OWN_FIELDS.contains(field.getKey()))
            .map(field -> field.getKey() + "=" + field.getValue().asText())
            .toList();
    String detail = node.path("detail").asText();
    return new LogLine(
        node.path("router").asText(),
        node.path("event").asText(),
        node.path("time").asLong(),
        Optional.ofNullable(node.get("request")).map(JsonNode::asText),
        node.path("at_ms").asDouble(),
        detail.isEmpty() ? facts : join(facts, detail));
  }

  private static List<String> join(List<String> facts, String detail) {
    List<String> all = new ArrayList<>(facts);
    all.add(detail);
    return all;
  }

  /** Tells whether one of the facts names something. */
  boolean names(String name) {
    return facts.stream().anyMatch(fact -> fact.endsWith("=" + name));
  }
}
