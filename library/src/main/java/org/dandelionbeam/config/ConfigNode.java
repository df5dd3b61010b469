package org.dandelionbeam.config;

import static java.util.Objects.requireNonNull;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Node of a configuration tree, with the place in the file that it was read from. */
public sealed interface ConfigNode {

  /**
   * Returns where the node was read from.
   *
   * @return file and line
   */
  Source source();

  /**
   * Describes the node for an error message.
   *
   * @return the value if it is a scalar, else the kind of node
   */
  String describe();

  /**
   * Returns whether this is an explicit {@code null}.
   *
   * @return true for a scalar of type {@link ScalarType#NULL}
   */
  default boolean isNull() {
    return this instanceof Scalar scalar && scalar.type() == ScalarType.NULL;
  }

  /**
   * Returns the name of a named item.
   *
   * @return the text under the key {@code name}, empty if this is not a map with such a text
   */
  default Optional<String> name() {
    return this instanceof MapNode map && map.entries().get("name") instanceof Scalar scalar
        ? Optional.of(scalar.text())
        : Optional.empty();
  }

  /**
   * Place in a file.
   *
   * @param file name of the file
   * @param line line number, starting at 1; 0 if unknown
   */
  record Source(String file, int line) {
    /** Source of nodes read from the platform store or received from a peer. */
    public static final Source STORED = new Source("stored configuration", 0);
  }

  /** Type of a scalar. */
  enum ScalarType {
    /** Text. */
    TEXT,
    /** Whole number. */
    INTEGER,
    /** Number with a fraction. */
    DECIMAL,
    /** True or false. */
    BOOLEAN,
    /** Explicit null. */
    NULL
  }

  /**
   * Map of keys to nodes, in the order of the file.
   *
   * @param source where the node was read from
   * @param entries nodes by key
   */
  record MapNode(Source source, Map<String, ConfigNode> entries) implements ConfigNode {

    /** Copies the map and requires the source. */
    public MapNode {
      requireNonNull(source, "source");
      entries = Collections.unmodifiableMap(new LinkedHashMap<>(entries));
    }

    @Override
    public String describe() {
      return "a map";
    }
  }

  /**
   * List of nodes, in the order of the file.
   *
   * @param source where the node was read from
   * @param items nodes of the list
   */
  record ListNode(Source source, List<ConfigNode> items) implements ConfigNode {

    /** Copies the list and requires the source. */
    public ListNode {
      requireNonNull(source, "source");
      items = List.copyOf(items);
    }

    /**
     * Returns whether all items have names.
     *
     * @return true if every item has a name, also for an empty list
     */
    public boolean isNamed() {
      return items.stream().allMatch(item -> item.name().isPresent());
    }

    @Override
    public String describe() {
      return "a list";
    }
  }

  /**
   * Single value.
   *
   * @param source where the node was read from
   * @param type type of the value
   * @param text the value as written
   */
  record Scalar(Source source, ScalarType type, String text) implements ConfigNode {

    /** Requires all components. */
    public Scalar {
      requireNonNull(source, "source");
      requireNonNull(type, "type");
      requireNonNull(text, "text");
    }

    @Override
    public String describe() {
      return type == ScalarType.TEXT ? "'" + text + "'" : text;
    }
  }
}
