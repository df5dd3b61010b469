package org.dandelionbeam.config;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dandelionbeam.config.ConfigNode.ListNode;
import org.dandelionbeam.config.ConfigNode.MapNode;
import org.dandelionbeam.config.ConfigNode.Scalar;
import org.dandelionbeam.config.ConfigNode.ScalarType;
import org.dandelionbeam.config.ConfigNode.Source;
import org.dandelionbeam.config.ConfigReader.Result;
import org.dandelionbeam.config.InternTable.Namespace;

/**
 * Configuration as it is stored: the merged tree with the numbers of its names and its recent
 * changes.
 *
 * @param tree merged configuration tree
 * @param table numbers of the names in the tree, and of no others
 * @param changeIds ids of the most recent changes, oldest first
 */
public record ConfigDocument(ConfigNode tree, InternTable table, List<String> changeIds) {
  private static final int MAX_CHANGES = 16;
  private static final int FORMAT = 1;
  private static final String FORMAT_KEY = "format";
  private static final String TREE_KEY = "configuration";
  private static final String NUMBERS_KEY = "numbers";
  private static final String NEXT_KEY = "next";
  private static final String CHANGES_KEY = "changes";

  /**
   * Sorts top-level lists of named items by name, so that the order of items in the files does not
   * matter.
   */
  public ConfigDocument {
    tree = sorted(requireNonNull(tree, "tree"));
    requireNonNull(table, "table");
    changeIds = List.copyOf(changeIds);
  }

  /**
   * Creates a document without earlier changes.
   *
   * @param tree merged configuration tree
   * @param table numbers of the names in the tree, and of no others
   * @return the document
   */
  public static ConfigDocument of(ConfigNode tree, InternTable table) {
    return new ConfigDocument(tree, table, List.of());
  }

  /**
   * Returns the document that results from a change to this one.
   *
   * @param newTree configuration tree after the change
   * @param newTable numbers of the names in the tree, and of no others
   * @param change id of the change
   * @return the document with the change as its most recent one
   */
  public ConfigDocument withChange(ConfigNode newTree, InternTable newTable, String change) {
    List<String> last = new ArrayList<>(changeIds);
    last.add(requireNonNull(change, "change"));
    int dropped = Math.max(0, last.size() - MAX_CHANGES);
    return new ConfigDocument(newTree, newTable, last.subList(dropped, last.size()));
  }

  /**
   * Encodes the document as one tree.
   *
   * @return the tree to store
   */
  public ConfigNode toNode() {
    Map<String, ConfigNode> numbers = new LinkedHashMap<>();
    Map<String, ConfigNode> next = new LinkedHashMap<>();
    for (Namespace namespace : Namespace.values()) {
      numbers.put(namespace.key(), numbersNode(table.numbers(namespace)));
      next.put(namespace.key(), intNode(table.next(namespace)));
    }
    Map<String, ConfigNode> entries = new LinkedHashMap<>();
    entries.put(FORMAT_KEY, intNode(FORMAT));
    entries.put(NUMBERS_KEY, new MapNode(Source.STORED, numbers));
    entries.put(NEXT_KEY, new MapNode(Source.STORED, next));
    List<ConfigNode> ids = new ArrayList<>();
    changeIds.forEach(id -> ids.add(new Scalar(Source.STORED, ScalarType.TEXT, id)));
    entries.put(CHANGES_KEY, new ListNode(Source.STORED, ids));
    entries.put(TREE_KEY, tree);
    return new MapNode(Source.STORED, entries);
  }

  /**
   * Decodes a document from a stored tree.
   *
   * @param node tree that {@link #toNode} returned
   * @return the document
   * @throws IllegalArgumentException if the tree is not a document of a known format
   */
  public static ConfigDocument fromNode(ConfigNode node) {
    Map<String, ConfigNode> entries = entriesOf(node);
    if (intOf(entries.get(FORMAT_KEY)) != FORMAT) {
      throw new IllegalArgumentException("stored configuration is not of format " + FORMAT);
    }
    Map<String, ConfigNode> numbers = entriesOf(entries.get(NUMBERS_KEY));
    Map<String, ConfigNode> next = entriesOf(entries.get(NEXT_KEY));
    InternTable table = InternTable.empty();
    for (Namespace namespace : Namespace.values()) {
      Map<String, Integer> byName = new HashMap<>();
      entriesOf(numbers.get(namespace.key()))
          .forEach((name, value) -> byName.put(name, intOf(value)));
      table = table.with(namespace, byName, intOf(next.get(namespace.key())));
    }
    ConfigNode tree = requireTree(entries.get(TREE_KEY));
    return new ConfigDocument(tree, table, textsOf(entries.get(CHANGES_KEY)));
  }

  /**
   * Validates the tree and returns its configuration.
   *
   * @param revision revision at which the document was stored
   * @return the configuration, or the errors that this version of the program finds in it
   */
  public Result read(long revision) {
    Result result = ConfigReader.read(tree, table, revision);
    if (result instanceof Result.Accepted accepted && !coversSameNames(accepted.table())) {
      ConfigProblem problem =
          ConfigProblem.at(
              tree.source(),
              NUMBERS_KEY,
              "numbers for exactly the names in the tree",
              "numbers for other names");
      return new Result.Refused(List.of(problem));
    }
    return result;
  }

  private boolean coversSameNames(InternTable needed) {
    for (Namespace namespace : Namespace.values()) {
      if (!needed.numbers(namespace).equals(table.numbers(namespace))) {
        return false;
      }
    }
    return true;
  }

  private static ConfigNode sorted(ConfigNode tree) {
    if (!(tree instanceof MapNode map)) {
      return tree;
    }
    Map<String, ConfigNode> entries = new LinkedHashMap<>();
    map.entries().forEach((key, value) -> entries.put(key, sortedByName(value)));
    return new MapNode(map.source(), entries);
  }

  private static ConfigNode sortedByName(ConfigNode node) {
    if (!(node instanceof ListNode list) || !list.isNamed()) {
      return node;
    }
    List<ConfigNode> items = new ArrayList<>(list.items());
    items.sort(Comparator.comparing(item -> item.name().orElseThrow()));
    return new ListNode(list.source(), items);
  }

  private static MapNode numbersNode(Map<String, Integer> numbers) {
    Map<String, ConfigNode> entries = new LinkedHashMap<>();
    numbers.forEach((name, number) -> entries.put(name, intNode(number)));
    return new MapNode(Source.STORED, entries);
  }

  private static Scalar intNode(int value) {
    return new Scalar(Source.STORED, ScalarType.INTEGER, Integer.toString(value));
  }

  private static int intOf(ConfigNode node) {
    if (node instanceof Scalar scalar && scalar.type() == ScalarType.INTEGER) {
      return Integer.parseInt(scalar.text());
    }
    throw new IllegalArgumentException("stored configuration lacks a required integer");
  }

  private static Map<String, ConfigNode> entriesOf(ConfigNode node) {
    if (node instanceof MapNode map) {
      return map.entries();
    }
    throw new IllegalArgumentException("stored configuration lacks a required map");
  }

  private static List<String> textsOf(ConfigNode node) {
    if (node instanceof ListNode list
        && list.items().stream().allMatch(item -> item instanceof Scalar)) {
      return list.items().stream().map(item -> ((Scalar) item).text()).toList();
    }
    throw new IllegalArgumentException("stored configuration lacks a required list of scalars");
  }

  private static ConfigNode requireTree(ConfigNode node) {
    if (node == null) {
      throw new IllegalArgumentException("stored configuration lacks the key '" + TREE_KEY + "'");
    }
    return node;
  }
}
