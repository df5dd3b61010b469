package org.dandelionbeam.config.wiring;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import org.dandelionbeam.config.ConfigNode;
import org.dandelionbeam.config.ConfigNode.ListNode;
import org.dandelionbeam.config.ConfigNode.MapNode;
import org.dandelionbeam.config.ConfigNode.Scalar;
import org.dandelionbeam.config.ConfigNode.ScalarType;
import org.dandelionbeam.config.ConfigNode.Source;
import org.dandelionbeam.config.ConfigProblem;

/** Builds a configuration tree from the tokens of a Jackson parser. */
final class TreeParser {
  private static final int MAX_DEPTH = 32;

  private final JsonParser tokens;
  private final IntFunction<Source> sources;
  private final List<ConfigProblem> problems;

  TreeParser(JsonParser tokens, IntFunction<Source> sources, List<ConfigProblem> problems) {
    this.tokens = tokens;
    this.sources = sources;
    this.problems = problems;
  }

  /** Parses one document; an empty input results in an empty map. */
  ConfigNode parse() throws IOException {
    if (tokens.nextToken() == null) {
      return new MapNode(source(), Map.of());
    }
    ConfigNode node = value(source(), 0);
    if (tokens.nextToken() != null) {
      problems.add(ConfigProblem.at(source(), "", "one document", "a second document"));
    }
    return node;
  }

  private ConfigNode value(Source source, int depth) throws IOException {
    if (depth > MAX_DEPTH) {
      throw new IOException("nested deeper than " + MAX_DEPTH + " levels");
    }
    if (tokens instanceof YAMLParser yaml && yaml.isCurrentAlias()) {
      problems.add(ConfigProblem.at(source, "", "a value", "a YAML alias"));
    }
    return switch (tokens.currentToken()) {
      case START_OBJECT -> map(source, depth);
      case START_ARRAY -> list(source, depth);
      case VALUE_NUMBER_INT -> scalar(source, ScalarType.INTEGER);
      case VALUE_NUMBER_FLOAT -> scalar(source, ScalarType.DECIMAL);
      case VALUE_TRUE, VALUE_FALSE -> scalar(source, ScalarType.BOOLEAN);
      case VALUE_NULL -> new Scalar(source, ScalarType.NULL, "null");
      default -> scalar(source, ScalarType.TEXT);
    };
  }

  private MapNode map(Source source, int depth) throws IOException {
    Map<String, ConfigNode> entries = new LinkedHashMap<>();
    while (tokens.nextToken() != JsonToken.END_OBJECT) {
      String key = tokens.currentName();
      Source keySource = source();
      tokens.nextToken();
      ConfigNode duplicate = entries.put(key, value(keySource, depth + 1));
      if (duplicate != null) {
        String found = "the key on line " + duplicate.source().line() + " repeated";
        problems.add(ConfigProblem.at(keySource, key, "each key once", found));
      }
    }
    return new MapNode(source, entries);
  }

  private ListNode list(Source source, int depth) throws IOException {
    List<ConfigNode> items = new ArrayList<>();
    while (tokens.nextToken() != JsonToken.END_ARRAY) {
      items.add(value(source(), depth + 1));
    }
    return new ListNode(source, items);
  }

  private Scalar scalar(Source source, ScalarType type) throws IOException {
    return new Scalar(source, type, tokens.getText());
  }

  private Source source() {
    return sources.apply(Math.max(0, tokens.currentTokenLocation().getLineNr()));
  }
}
