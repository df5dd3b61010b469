package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;

/**
 * The version of the configuration in which this router first saw each of the current routes. Not
 * thread-safe.
 */
public final class RouteHistory {
  private Map<Key, Long> firstVersions = Map.of();
  private long firstTableVersion;

  private RouteHistory() {}

  /**
   * Creates a history without routes.
   *
   * @return the history
   */
  static RouteHistory create() {
    return new RouteHistory();
  }

  /** Records a configuration that comes into force. */
  void record(RoutingTable table) {
    requireNonNull(table, "table");
    if (firstVersions.isEmpty()) {
      firstTableVersion = table.version();
    }
    Map<Key, Long> current = new HashMap<>();
    table
        .routes()
        .forEach(
            route -> {
              Key key = Key.of(route);
              current.put(key, firstVersions.getOrDefault(key, table.version()));
            });
    firstVersions = current;
  }

  /**
   * Returns the first known version with a route.
   *
   * @param route the route
   * @return version of the configuration, 0 if the route is in none
   */
  public long firstVersion(RouteRule route) {
    return firstVersions.getOrDefault(Key.of(route), 0L);
  }

  /**
   * Tells whether a route came after the first configuration that this router read.
   *
   * @param route the route
   * @return false if it was there from the start
   */
  public boolean isAdded(RouteRule route) {
    return firstVersion(route) > firstTableVersion;
  }

  /** What a route matches, which stays the same while its other properties change. */
  private record Key(String host, String prefix) {
    static Key of(RouteRule route) {
      return new Key(route.host(), route.prefix());
    }
  }
}
