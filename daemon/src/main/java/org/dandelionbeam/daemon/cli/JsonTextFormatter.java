package org.dandelionbeam.daemon.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/**
 * Formats a JSON response for reading: members of an object as aligned pairs, lists of objects as
 * tables.
 *
 * <p>It shows every member, so members that a newer router adds are shown as well.
 */
final class JsonTextFormatter {
  private static final String NONE = "-";

  private final List<String> lines = new ArrayList<>();

  private JsonTextFormatter() {}

  /** Formats a JSON value as lines of text. */
  static List<String> lines(JsonNode response) {
    JsonTextFormatter page = new JsonTextFormatter();
    page.add("", response);
    return List.copyOf(page.lines);
  }

  private void add(String title, JsonNode node) {
    if (node.isObject()) {
      addObject(title, node);
    } else if (node.isArray()) {
      addList(title, node);
    } else {
      addTitle(title);
      lines.add(cell(node));
    }
  }

  private void addObject(String title, JsonNode node) {
    Table pairs = Table.empty();
    node.properties().stream()
        .filter(entry -> !isSection(entry.getValue()))
        .forEach(entry -> pairs.addRow(List.of(label(entry.getKey()), cell(entry.getValue()))));
    List<String> values = pairs.lines();
    if (!values.isEmpty()) {
      addTitle(title);
      lines.addAll(values);
    }
    for (Map.Entry<String, JsonNode> entry : node.properties()) {
      if (isSection(entry.getValue())) {
        add(title.isEmpty() ? entry.getKey() : title + "." + entry.getKey(), entry.getValue());
      }
    }
  }

  private void addList(String title, JsonNode list) {
    addTitle(title);
    if (list.isEmpty()) {
      lines.add(NONE);
    } else if (isTable(list)) {
      lines.addAll(table(list));
    } else {
      list.forEach(item -> lines.add(cell(item)));
    }
  }

  private void addTitle(String title) {
    if (title.isEmpty()) {
      return;
    }
    if (!lines.isEmpty()) {
      lines.add("");
    }
    lines.add(label(title));
  }

  private static List<String> table(JsonNode list) {
    Set<String> columns = new LinkedHashSet<>();
    list.forEach(item -> item.fieldNames().forEachRemaining(columns::add));
    Table table = Table.empty();
    table.addRow(columns.stream().map(name -> label(name).toUpperCase(Locale.ROOT)).toList());
    for (JsonNode item : list) {
      table.addRow(columns.stream().map(name -> cell(item.path(name))).toList());
    }
    return table.lines();
  }

  private static boolean isSection(JsonNode node) {
    return !node.isEmpty() && (node.isObject() || isTable(node) || hasItemsWithSpaces(node));
  }

  private static boolean isTable(JsonNode list) {
    return stream(list).allMatch(JsonNode::isObject);
  }

  private static boolean hasItemsWithSpaces(JsonNode list) {
    return stream(list).anyMatch(item -> item.asText().indexOf(' ') >= 0);
  }

  /** Splits a member name into words: {@code inFlight} becomes {@code in flight}. */
  private static String label(String name) {
    return name.replaceAll("([a-z0-9])([A-Z])", "$1 $2").toLowerCase(Locale.ROOT);
  }

  private static String cell(JsonNode node) {
    if (node.isMissingNode() || node.isNull()) {
      return NONE;
    }
    if (node.isArray()) {
      return node.isEmpty() ? NONE : join(stream(node).map(JsonTextFormatter::cell).toList());
    }
    if (node.isObject()) {
      return join(
          node.properties().stream()
              .map(entry -> entry.getKey() + "=" + cell(entry.getValue()))
              .toList());
    }
    return node.asText().isEmpty() ? NONE : node.asText().replace("\n", "\\n");
  }

  private static Stream<JsonNode> stream(JsonNode list) {
    return StreamSupport.stream(list.spliterator(), false);
  }

  private static String join(List<String> parts) {
    return parts.isEmpty() ? NONE : String.join(", ", parts);
  }
}
