package org.dandelionbeam.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dandelionbeam.config.ConfigNode.ListNode;
import org.dandelionbeam.config.ConfigNode.MapNode;
import org.dandelionbeam.config.ConfigNode.Scalar;

/**
 * Merges an overlay into a base configuration.
 *
 * <p>Maps merge by key, and lists whose items all have names merge by name; any other value of the
 * overlay replaces that of the base. A {@code null} in the overlay removes its key, and {@code
 * remove: true} in a named item removes the item.
 */
public final class ConfigMerge {
  private static final String REMOVE = "remove";

  private final List<ConfigProblem> problems;

  private ConfigMerge(List<ConfigProblem> problems) {
    this.problems = problems;
  }

  /**
   * Merges an overlay into a base configuration.
   *
   * @param base tree that the overlay changes
   * @param overlay changes to the base
   * @param problems receives an error for each removal of a key or item that the base lacks
   * @return the merged tree
   */
  public static ConfigNode merge(
      ConfigNode base, ConfigNode overlay, List<ConfigProblem> problems) {
    return new ConfigMerge(problems).merge("", base, overlay);
  }

  private ConfigNode merge(String path, ConfigNode base, ConfigNode overlay) {
    if (base instanceof MapNode baseMap && overlay instanceof MapNode overlayMap) {
      return mergeMaps(path, baseMap, overlayMap);
    }
    if (base instanceof ListNode baseList && overlay instanceof ListNode overlayList) {
      boolean isNamed =
          baseList.isNamed() && overlayList.isNamed() && !overlayList.items().isEmpty();
      return isNamed ? mergeNamed(path, baseList, overlayList) : overlayList;
    }
    return overlay;
  }

  private MapNode mergeMaps(String path, MapNode base, MapNode overlay) {
    Map<String, ConfigNode> merged = new LinkedHashMap<>(base.entries());
    overlay
        .entries()
        .forEach(
            (key, value) -> {
              String childPath = path.isEmpty() ? key : path + "." + key;
              if (value.isNull()) {
                removeKey(childPath, merged, key, value);
              } else {
                merged.merge(key, value, (old, changed) -> merge(childPath, old, changed));
              }
            });
    return new MapNode(base.source(), merged);
  }

  private void removeKey(
      String path, Map<String, ConfigNode> entries, String key, ConfigNode removal) {
    if (entries.remove(key) == null) {
      problems.add(nothingToRemove(path, removal));
    }
  }

  private ListNode mergeNamed(String path, ListNode base, ListNode overlay) {
    List<ConfigNode> merged = new ArrayList<>(base.items());
    Map<String, Integer> positions = new LinkedHashMap<>();
    for (int i = 0; i < merged.size(); i++) {
      positions.putIfAbsent(nameOf(merged.get(i)), i);
    }
    Set<String> seen = new HashSet<>();
    for (ConfigNode item : overlay.items()) {
      String name = nameOf(item);
      String itemPath = path + "[" + name + "]";
      Optional<Integer> position = Optional.ofNullable(positions.get(name));
      if (!seen.add(name)) {
        merged.add(item);
      } else if (isRemoval(item)) {
        position.ifPresentOrElse(
            at -> merged.set(at, null), () -> problems.add(nothingToRemove(itemPath, item)));
      } else {
        position.ifPresentOrElse(
            at -> merged.set(at, merge(itemPath, merged.get(at), item)), () -> merged.add(item));
      }
    }
    merged.removeIf(item -> item == null);
    return new ListNode(base.source(), merged);
  }

  private static boolean isRemoval(ConfigNode item) {
    return item instanceof MapNode map
        && map.entries().get(REMOVE) instanceof Scalar scalar
        && scalar.text().equals("true");
  }

  private static String nameOf(ConfigNode item) {
    return item.name().orElseThrow();
  }

  private static ConfigProblem nothingToRemove(String path, ConfigNode removal) {
    return ConfigProblem.at(
        removal.source(),
        path,
        "a key or name that the base has",
        "a removal of one that it lacks");
  }
}
