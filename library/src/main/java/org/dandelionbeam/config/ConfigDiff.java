package org.dandelionbeam.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.dandelionbeam.config.ConfigNode.ListNode;
import org.dandelionbeam.config.ConfigNode.MapNode;
import org.dandelionbeam.config.ConfigNode.Scalar;
import org.dandelionbeam.config.ConfigNode.ScalarType;
import org.dandelionbeam.config.ConfigNode.Source;

/** Computes the differences between two configurations, as lines by path or as an overlay. */
public final class ConfigDiff {
  private static final String NAME = "name";
  private static final Scalar NULL = new Scalar(Source.STORED, ScalarType.NULL, "null");
  private static final Scalar TRUE = new Scalar(Source.STORED, ScalarType.BOOLEAN, "true");

  private ConfigDiff() {}

  /**
   * Lists the differences between two configurations by path.
   *
   * @param from the older configuration
   * @param to the newer configuration
   * @return one line for each value that was added ({@code +}), removed ({@code -}) or changed
   *     ({@code ~}); empty if the configurations are equal
   */
  public static List<String> lines(ConfigNode from, ConfigNode to) {
    Map<String, String> older = new LinkedHashMap<>();
    Map<String, String> newer = new LinkedHashMap<>();
    flatten("", from, older);
    flatten("", to, newer);
    Set<String> paths = new LinkedHashSet<>(older.keySet());
    paths.addAll(newer.keySet());
    return paths.stream()
        .filter(path -> !String.valueOf(older.get(path)).equals(String.valueOf(newer.get(path))))
        .map(path -> line(path, older.get(path), newer.get(path)))
        .toList();
  }

  /**
   * Returns the overlay that {@link ConfigMerge} needs to turn one tree into another.
   *
   * <p>The overlay does not express a changed order of named items.
   *
   * @param from the older tree
   * @param to the newer tree
   * @return the overlay to merge into the older tree
   */
  public static ConfigNode overlay(ConfigNode from, ConfigNode to) {
    if (from instanceof MapNode older && to instanceof MapNode newer) {
      return overlayOfMaps(older, newer);
    }
    if (from instanceof ListNode older && to instanceof ListNode newer) {
      boolean isNamed = older.isNamed() && newer.isNamed() && !newer.items().isEmpty();
      return isNamed ? overlayOfNamed(older, newer) : newer;
    }
    return to;
  }

  private static MapNode overlayOfMaps(MapNode from, MapNode to) {
    Map<String, ConfigNode> changes = new LinkedHashMap<>();
    from.entries().keySet().stream()
        .filter(key -> !to.entries().containsKey(key))
        .forEach(key -> changes.put(key, NULL));
    to.entries()
        .forEach(
            (key, value) -> {
              ConfigNode old = from.entries().get(key);
              if (old == null) {
                changes.put(key, value);
              } else if (!old.equals(value)) {
                changes.put(key, overlay(old, value));
              }
            });
    return new MapNode(Source.STORED, changes);
  }

  private static ListNode overlayOfNamed(ListNode from, ListNode to) {
    Map<String, ConfigNode> older = byName(from);
    Map<String, ConfigNode> newer = byName(to);
    List<ConfigNode> changes = new ArrayList<>();
    older.keySet().stream()
        .filter(name -> !newer.containsKey(name))
        .forEach(name -> changes.add(new MapNode(Source.STORED, removalEntries(name))));
    newer.forEach(
        (name, item) -> {
          ConfigNode old = older.get(name);
          if (old == null) {
            changes.add(item);
          } else if (!old.equals(item)) {
            changes.add(namedItem(name, overlay(old, item)));
          }
        });
    return new ListNode(Source.STORED, changes);
  }

  private static Map<String, ConfigNode> removalEntries(String name) {
    return Map.of(NAME, new Scalar(Source.STORED, ScalarType.TEXT, name), "remove", TRUE);
  }

  private static MapNode namedItem(String name, ConfigNode changes) {
    Map<String, ConfigNode> entries = new LinkedHashMap<>();
    entries.put(NAME, new Scalar(Source.STORED, ScalarType.TEXT, name));
    entries.putAll(((MapNode) changes).entries());
    return new MapNode(Source.STORED, entries);
  }

  private static Map<String, ConfigNode> byName(ListNode list) {
    Map<String, ConfigNode> items = new LinkedHashMap<>();
    list.items().forEach(item -> items.put(item.name().orElseThrow(), item));
    return items;
  }

  private static void flatten(String path, ConfigNode node, Map<String, String> lines) {
    if (node instanceof MapNode map) {
      map.entries()
          .forEach((key, value) -> flatten(path.isEmpty() ? key : path + "." + key, value, lines));
    } else if (node instanceof ListNode list) {
      for (int i = 0; i < list.items().size(); i++) {
        ConfigNode item = list.items().get(i);
        flatten(path + "[" + item.name().orElse(Integer.toString(i)) + "]", item, lines);
      }
    } else if (node instanceof Scalar scalar) {
      lines.put(path, scalar.text());
    }
  }

  private static String line(String path, String older, String newer) {
    if (older == null) {
      return "+ " + path + ": " + newer;
    }
    if (newer == null) {
      return "- " + path + ": " + older;
    }
    return "~ " + path + ": " + older + " -> " + newer;
  }
}
