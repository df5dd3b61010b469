package org.dandelionbeam.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.dandelionbeam.config.ConfigNode.ListNode;
import org.dandelionbeam.config.ConfigNode.MapNode;
import org.dandelionbeam.config.ConfigNode.Scalar;
import org.dandelionbeam.config.ConfigNode.ScalarType;
import org.dandelionbeam.config.ConfigNode.Source;

/**
 * Reads the entries of one map and collects their errors. After an error it returns a valid
 * placeholder, so that one pass finds all errors.
 */
final class MapReader {
  /** Placeholder for a missing or invalid text; cannot be a valid name. */
  static final String INVALID = "(invalid)";

  private static final Pattern DURATION = Pattern.compile("(\\d{1,9}) ?(ms|s|min)");

  private final String path;
  private final MapNode map;
  private final List<ConfigProblem> problems;
  private final Set<String> knownKeys = new HashSet<>();

  private MapReader(String path, MapNode map, List<ConfigProblem> problems) {
    this.path = path;
    this.map = map;
    this.problems = problems;
  }

  static MapReader of(String path, ConfigNode node, List<ConfigProblem> problems) {
    if (node instanceof MapNode map) {
      return new MapReader(path, map, problems);
    }
    problems.add(ConfigProblem.at(node.source(), path, "a map", node.describe()));
    MapNode nothing = new MapNode(node.source(), Map.of());
    return new MapReader(path, nothing, new ArrayList<>());
  }

  String path() {
    return path;
  }

  /** Returns the name of the item, or {@link #INVALID} if it has none; adds no error. */
  String label() {
    return map.name().orElse(INVALID);
  }

  /** Returns the source of an entry, or of the map if the entry is missing. */
  Source sourceOf(String key) {
    return entry(key).map(ConfigNode::source).orElse(map.source());
  }

  String text(String key, Pattern pattern, String expected) {
    return required(key, () -> expected)
        .flatMap(node -> scalar(key, node, () -> expected, text -> parseText(pattern, text)))
        .orElse(INVALID);
  }

  int integer(String key, int min, int max) {
    Supplier<String> expected = () -> "a whole number from " + min + " to " + max;
    return required(key, expected)
        .flatMap(node -> scalar(key, node, expected, text -> parseInteger(text, min, max)))
        .orElse(min);
  }

  int integer(String key, int min, int max, int defaultValue) {
    return entry(key).isEmpty() ? defaultValue : integer(key, min, max);
  }

  double decimal(String key, double exclusiveMin, double max, double defaultValue) {
    Supplier<String> expected = () -> "a number above " + exclusiveMin + " and at most " + max;
    return entry(key)
        .map(
            node ->
                scalar(key, node, expected, text -> parseDecimal(text, exclusiveMin, max))
                    .orElse(max))
        .orElse(defaultValue);
  }

  boolean bool(String key, boolean defaultValue) {
    return entry(key).isPresent() ? bool(key) : defaultValue;
  }

  boolean bool(String key) {
    Supplier<String> expected = () -> "true or false";
    return required(key, expected)
        .flatMap(node -> scalar(key, node, expected, MapReader::parseBoolean))
        .orElse(false);
  }

  <E extends Enum<E>> Optional<E> choice(String key, Class<E> type) {
    E[] values = type.getEnumConstants();
    Supplier<String> expected = () -> "one of " + Arrays.toString(values);
    return required(key, expected)
        .flatMap(node -> scalar(key, node, expected, text -> parseConstant(values, text)));
  }

  Duration duration(String key, Duration defaultValue) {
    Supplier<String> expected = () -> "a duration such as '500 ms', '10 s' or '2 min'";
    return entry(key)
        .flatMap(node -> scalar(key, node, expected, MapReader::parseDuration))
        .orElse(defaultValue);
  }

  /** Returns the items of a list, empty if the key is absent. */
  List<ConfigNode> list(String key) {
    Optional<ConfigNode> node = entry(key);
    if (node.isEmpty() || node.get() instanceof ListNode) {
      return node.map(list -> ((ListNode) list).items()).orElse(List.of());
    }
    addProblem(key, "a list", node.get().describe());
    return List.of();
  }

  /** Returns the valid items of a list of texts; adds an error for each of the others. */
  List<Scalar> texts(String key, Pattern pattern, String expected) {
    return list(key).stream()
        .filter(
            item -> scalar(key, item, () -> expected, text -> parseText(pattern, text)).isPresent())
        .map(Scalar.class::cast)
        .toList();
  }

  /** Returns a reader of the map under a key, empty if the key is absent. */
  Optional<MapReader> map(String key) {
    return entry(key).map(node -> of(pathOf(key), node, problems));
  }

  /** Adds an error for each key that was not read. */
  void rejectUnknownKeys() {
    map.entries()
        .forEach(
            (key, value) -> {
              if (!knownKeys.contains(key)) {
                String expected = "one of " + knownKeys.stream().sorted().toList();
                problems.add(
                    ConfigProblem.at(value.source(), pathOf(key), expected, "unknown key"));
              }
            });
  }

  /** Adds an error at an entry. */
  void addProblem(String key, String expected, String found) {
    problems.add(ConfigProblem.at(sourceOf(key), pathOf(key), expected, found));
  }

  private Optional<ConfigNode> entry(String key) {
    knownKeys.add(key);
    return Optional.ofNullable(map.entries().get(key));
  }

  private Optional<ConfigNode> required(String key, Supplier<String> expected) {
    Optional<ConfigNode> node = entry(key);
    if (node.isEmpty()) {
      addProblem(key, expected.get(), "nothing");
    }
    return node;
  }

  private <T> Optional<T> scalar(
      String key, ConfigNode node, Supplier<String> expected, Function<Scalar, Optional<T>> parse) {
    Optional<T> value = node instanceof Scalar scalar ? parse.apply(scalar) : Optional.empty();
    if (value.isEmpty()) {
      problems.add(ConfigProblem.at(node.source(), pathOf(key), expected.get(), node.describe()));
    }
    return value;
  }

  private String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  private static Optional<String> parseText(Pattern pattern, Scalar scalar) {
    boolean matches = scalar.type() == ScalarType.TEXT && pattern.matcher(scalar.text()).matches();
    return matches ? Optional.of(scalar.text()) : Optional.empty();
  }

  private static Optional<Integer> parseInteger(Scalar scalar, int min, int max) {
    if (scalar.type() != ScalarType.INTEGER) {
      return Optional.empty();
    }
    try {
      int value = Integer.parseInt(scalar.text());
      return value >= min && value <= max ? Optional.of(value) : Optional.empty();
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  private static Optional<Double> parseDecimal(Scalar scalar, double exclusiveMin, double max) {
    if (scalar.type() != ScalarType.INTEGER && scalar.type() != ScalarType.DECIMAL) {
      return Optional.empty();
    }
    try {
      double value = Double.parseDouble(scalar.text());
      return value > exclusiveMin && value <= max ? Optional.of(value) : Optional.empty();
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  private static Optional<Boolean> parseBoolean(Scalar scalar) {
    return scalar.type() == ScalarType.BOOLEAN
        ? Optional.of(Boolean.parseBoolean(scalar.text()))
        : Optional.empty();
  }

  private static <E extends Enum<E>> Optional<E> parseConstant(E[] values, Scalar scalar) {
    String name = scalar.text().toUpperCase(Locale.ROOT);
    return Arrays.stream(values).filter(value -> value.name().equals(name)).findFirst();
  }

  private static Optional<Duration> parseDuration(Scalar scalar) {
    Matcher matcher = DURATION.matcher(scalar.text());
    if (scalar.type() != ScalarType.TEXT || !matcher.matches()) {
      return Optional.empty();
    }
    long count = Long.parseLong(matcher.group(1));
    Duration value =
        switch (matcher.group(2)) {
          case "ms" -> Duration.ofMillis(count);
          case "s" -> Duration.ofSeconds(count);
          default -> Duration.ofMinutes(count);
        };
    return value.isZero() ? Optional.empty() : Optional.of(value);
  }
}
