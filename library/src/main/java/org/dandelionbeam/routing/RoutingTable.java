package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;

/** One version of the configuration, indexed for lookups. Immutable. */
public final class RoutingTable {
  private final long version;
  private final Map<String, List<RouteRule>> routesByHost;
  private final Map<ServiceName, ServiceSpec> services;
  private final Map<String, TeamName> teamsByKey;
  private final CallerLimits limits;
  private final boolean keysRequired;

  private RoutingTable(Builder builder) {
    version = builder.version;
    routesByHost = longestPrefixFirst(builder.routes);
    services = Map.copyOf(builder.services);
    teamsByKey = Map.copyOf(builder.teamsByKey);
    limits = builder.limits;
    keysRequired = builder.keysRequired;
  }

  private static Map<String, List<RouteRule>> longestPrefixFirst(List<RouteRule> routes) {
    Map<String, List<RouteRule>> byHost = new HashMap<>();
    for (RouteRule route : routes) {
      byHost.computeIfAbsent(hostKey(route.host()), key -> new ArrayList<>()).add(route);
    }
    byHost.replaceAll(
        (host, found) ->
            found.stream()
                .sorted((a, b) -> Integer.compare(b.prefix().length(), a.prefix().length()))
                .toList());
    return Map.copyOf(byHost);
  }

  /**
   * Creates a builder.
   *
   * @param version version of the configuration
   * @return a builder
   */
  public static Builder builder(long version) {
    return new Builder(version);
  }

  /**
   * Returns the version of the configuration.
   *
   * @return number that grows with each accepted configuration
   */
  public long version() {
    return version;
  }

  /**
   * Finds the matching route with the longest prefix.
   *
   * @param host value of the Host header, with or without a port
   * @param path path of the request, without the query
   * @return the route, empty if none matches
   */
  public Optional<RouteRule> match(String host, String path) {
    for (RouteRule route : routesByHost.getOrDefault(hostKey(host), List.of())) {
      if (path.startsWith(route.prefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /**
   * Finds the team that owns a key.
   *
   * @param key key that the caller sent
   * @return the team, empty if no team owns the key
   */
  public Optional<TeamName> teamOf(String key) {
    return Optional.ofNullable(teamsByKey.get(key));
  }

  /**
   * Returns the teams that own keys.
   *
   * @return the teams
   */
  public Set<TeamName> teams() {
    return Set.copyOf(teamsByKey.values());
  }

  /**
   * Tells whether routes that are not anonymous require a key.
   *
   * @return true if the configuration contains teams
   */
  public boolean keysRequired() {
    return keysRequired;
  }

  /**
   * Finds a service.
   *
   * @param name name of the service
   * @return configuration of the service, empty if it is not configured
   */
  public Optional<ServiceSpec> service(ServiceName name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Returns all services.
   *
   * @return the services in no particular order
   */
  public Collection<ServiceSpec> services() {
    return services.values();
  }

  /**
   * Returns the smallest memory of an engine over all services.
   *
   * @return memory in tokens, empty if no service has engines
   */
  public OptionalLong engineMemoryTokens() {
    return services.values().stream()
        .flatMap(service -> service.engine().stream())
        .mapToLong(ServiceSpec.EngineSpec::memoryTokens)
        .min();
  }

  /**
   * Returns all routes.
   *
   * @return the routes in no particular order
   */
  public Stream<RouteRule> routes() {
    return routesByHost.values().stream().flatMap(List::stream);
  }

  /**
   * Returns the number of routes.
   *
   * @return number of routes over all hosts
   */
  public int routeCount() {
    return routesByHost.values().stream().mapToInt(List::size).sum();
  }

  /**
   * Returns the limits on callers.
   *
   * @return the limits
   */
  public CallerLimits limits() {
    return limits;
  }

  private static String hostKey(String host) {
    int colon = host.lastIndexOf(':');
    String name = colon < 0 ? host : host.substring(0, colon);
    return name.toLowerCase(Locale.ROOT);
  }

  /** Builds a table. */
  public static final class Builder {
    private final long version;
    private final List<RouteRule> routes = new ArrayList<>();
    private final Map<ServiceName, ServiceSpec> services = new HashMap<>();
    private final Map<String, TeamName> teamsByKey = new HashMap<>();
    private CallerLimits limits = CallerLimits.DEFAULT;
    private boolean keysRequired;

    private Builder(long version) {
      this.version = version;
    }

    /**
     * Adds a route.
     *
     * @param route the route
     * @return this builder
     */
    public Builder route(RouteRule route) {
      routes.add(requireNonNull(route, "route"));
      return this;
    }

    /**
     * Adds a service.
     *
     * @param service the service
     * @return this builder
     */
    public Builder service(ServiceSpec service) {
      services.put(service.name(), service);
      return this;
    }

    /**
     * Adds a team.
     *
     * @param team name of the team
     * @param keys keys of the team, possibly none
     * @return this builder
     */
    public Builder team(TeamName team, Collection<String> keys) {
      keysRequired = true;
      keys.forEach(key -> teamsByKey.put(key, team));
      return this;
    }

    /**
     * Sets the limits on callers.
     *
     * @param newLimits the limits
     * @return this builder
     */
    public Builder limits(CallerLimits newLimits) {
      limits = requireNonNull(newLimits, "newLimits");
      return this;
    }

    /**
     * Builds the table.
     *
     * @return the table
     */
    public RoutingTable build() {
      return new RoutingTable(this);
    }
  }
}
