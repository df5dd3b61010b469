package org.dandelionbeam.config;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;

/** Immutable configuration of the fleet at one revision, with lookups by id, name and API key. */
public final class Configuration {
  private final long revision;
  private final String salt;
  private final List<KeyHash> operatorKeys;
  private final Limits limits;
  private final List<Domain> domains;
  private final Map<String, ModelId> models;
  private final Map<TeamId, Team> teams = new LinkedHashMap<>();
  private final Map<ServiceId, Service> services = new LinkedHashMap<>();
  private final Map<UpstreamId, Upstream> upstreams = new LinkedHashMap<>();
  private final Map<String, Team> teamsByKeyHash = new HashMap<>();
  private final Map<String, Service> servicesByName = new HashMap<>();

  private Configuration(Builder builder) {
    revision = builder.revision;
    salt = builder.salt;
    operatorKeys = List.copyOf(builder.operatorKeys);
    limits = builder.limits;
    domains = List.copyOf(builder.domains);
    models = Map.copyOf(builder.models);
    builder.teams.forEach(team -> teams.put(team.id(), team));
    builder.services.forEach(service -> services.put(service.id(), service));
    builder.upstreams.forEach(upstream -> upstreams.put(upstream.id(), upstream));
    for (Team team : builder.teams) {
      team.keys().forEach(key -> teamsByKeyHash.put(key.hash(), team));
    }
    builder.services.forEach(service -> servicesByName.put(service.name(), service));
  }

  /**
   * Creates a builder.
   *
   * @return an empty builder of revision 0
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns the revision of the configuration key in the platform store at which this configuration
   * was read.
   *
   * @return the revision, 0 if the configuration was never accepted
   */
  public long revision() {
    return revision;
  }

  /**
   * Returns the salt of all API key hashes.
   *
   * @return hexadecimal text
   */
  public String salt() {
    return salt;
  }

  /**
   * Returns the hashes of the operators' API keys.
   *
   * @return an immutable list
   */
  public List<KeyHash> operatorKeys() {
    return operatorKeys;
  }

  /**
   * Returns the limits on callers' requests.
   *
   * @return the limits
   */
  public Limits limits() {
    return limits;
  }

  /**
   * Returns the failure domains.
   *
   * @return an immutable list
   */
  public List<Domain> domains() {
    return domains;
  }

  /**
   * Returns the models by name.
   *
   * @return an immutable map
   */
  public Map<String, ModelId> models() {
    return models;
  }

  /**
   * Returns all teams.
   *
   * @return a list in the order of the configuration
   */
  public List<Team> teams() {
    return List.copyOf(teams.values());
  }

  /**
   * Returns all services.
   *
   * @return a list in the order of the configuration
   */
  public List<Service> services() {
    return List.copyOf(services.values());
  }

  /**
   * Returns all upstreams.
   *
   * @return a list in the order of the configuration
   */
  public List<Upstream> upstreams() {
    return List.copyOf(upstreams.values());
  }

  /**
   * Finds a team by id.
   *
   * @param id numeric id of the team
   * @return the team, empty if this revision has no team of that id
   */
  public Optional<Team> team(TeamId id) {
    return Optional.ofNullable(teams.get(id));
  }

  /**
   * Finds a service by id.
   *
   * @param id numeric id of the service
   * @return the service, empty if this revision has no service of that id
   */
  public Optional<Service> service(ServiceId id) {
    return Optional.ofNullable(services.get(id));
  }

  /**
   * Finds a service by name.
   *
   * @param name name of the service
   * @return the service, empty if this revision has no service of that name
   */
  public Optional<Service> serviceNamed(String name) {
    return Optional.ofNullable(servicesByName.get(name));
  }

  /**
   * Finds an upstream by id.
   *
   * @param id numeric id of the upstream
   * @return the upstream, empty if this revision has no upstream of that id
   */
  public Optional<Upstream> upstream(UpstreamId id) {
    return Optional.ofNullable(upstreams.get(id));
  }

  /**
   * Finds the team that an API key belongs to.
   *
   * @param key the API key as the caller sent it in the bearer token
   * @return the team, empty if no team has the key
   */
  public Optional<Team> teamOfKey(String key) {
    return Optional.ofNullable(teamsByKeyHash.get(KeyHash.of(salt, key).hash()));
  }

  /**
   * Returns whether an API key belongs to an operator.
   *
   * @param key the API key as the caller sent it in the bearer token
   * @return true if it is an operator's key
   */
  public boolean isOperatorKey(String key) {
    return operatorKeys.contains(KeyHash.of(salt, key));
  }

  /** Builds a {@link Configuration}; does not check references between its parts. */
  public static final class Builder {
    private final List<KeyHash> operatorKeys = new ArrayList<>();
    private final List<Domain> domains = new ArrayList<>();
    private final Map<String, ModelId> models = new LinkedHashMap<>();
    private final List<Team> teams = new ArrayList<>();
    private final List<Service> services = new ArrayList<>();
    private final List<Upstream> upstreams = new ArrayList<>();
    private long revision;
    private String salt = "00";
    private Limits limits = Limits.defaults();

    private Builder() {}

    /**
     * Sets the revision.
     *
     * @param value revision of the configuration key in the platform store
     * @return this builder
     */
    public Builder revision(long value) {
      revision = value;
      return this;
    }

    /**
     * Sets the salt of API key hashes.
     *
     * @param value hexadecimal text
     * @return this builder
     */
    public Builder salt(String value) {
      salt = requireNonNull(value, "value");
      return this;
    }

    /**
     * Sets the limits on callers' requests.
     *
     * @param value the limits
     * @return this builder
     */
    public Builder limits(Limits value) {
      limits = requireNonNull(value, "value");
      return this;
    }

    /**
     * Adds the API key of an operator.
     *
     * @param value salted hash of the key
     * @return this builder
     */
    public Builder operatorKey(KeyHash value) {
      operatorKeys.add(requireNonNull(value, "value"));
      return this;
    }

    /**
     * Adds a failure domain.
     *
     * @param value the domain
     * @return this builder
     */
    public Builder domain(Domain value) {
      domains.add(requireNonNull(value, "value"));
      return this;
    }

    /**
     * Adds a model.
     *
     * @param name name of the model
     * @param id numeric id of the model
     * @return this builder
     */
    public Builder model(String name, ModelId id) {
      models.put(requireNonNull(name, "name"), requireNonNull(id, "id"));
      return this;
    }

    /**
     * Adds a team.
     *
     * @param value the team
     * @return this builder
     */
    public Builder team(Team value) {
      teams.add(requireNonNull(value, "value"));
      return this;
    }

    /**
     * Adds a service.
     *
     * @param value the service
     * @return this builder
     */
    public Builder service(Service value) {
      services.add(requireNonNull(value, "value"));
      return this;
    }

    /**
     * Adds an upstream.
     *
     * @param value the upstream
     * @return this builder
     */
    public Builder upstream(Upstream value) {
      upstreams.add(requireNonNull(value, "value"));
      return this;
    }

    /**
     * Builds the configuration.
     *
     * @return an immutable configuration
     */
    public Configuration build() {
      return new Configuration(this);
    }
  }
}
