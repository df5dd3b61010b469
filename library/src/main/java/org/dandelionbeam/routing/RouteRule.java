package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntUnaryOperator;

/**
 * One route of the configuration: which requests it matches and how they are served.
 *
 * @param name name of the route
 * @param host host name of matching requests
 * @param prefix path prefix of matching requests, with a slash at both ends
 * @param kind whether requests may be repeated
 * @param timeout maximum time in which a request is served
 * @param latencyObjective target latency; a later response is worth less to the caller
 * @param pauseObjective longest desired pause between two events of a stream; zero if none is set
 * @param targets services with their weights, at least one
 * @param maxAttempts maximum number of upstreams that may run one request
 * @param anonymous whether callers may omit the key
 * @param resumable whether a stream can be resumed at another upstream
 */
public record RouteRule(
    String name,
    String host,
    String prefix,
    RouteKind kind,
    Duration timeout,
    Duration latencyObjective,
    Duration pauseObjective,
    List<Target> targets,
    int maxAttempts,
    boolean anonymous,
    boolean resumable) {
  /**
   * Callers of streams wait for the first output for the longest of this time and the two multiples
   * below.
   */
  private static final Duration MIN_FIRST_OUTPUT_TIMEOUT = Duration.ofSeconds(2);

  private static final int FIRST_OUTPUT_TIMEOUT_OBJECTIVES = 4;
  private static final int FIRST_OUTPUT_TIMEOUT_PAUSES = 8;

  /** Checks and copies the values. */
  public RouteRule {
    requireNonNull(name, "name");
    requireNonNull(host, "host");
    requireNonNull(prefix, "prefix");
    requireNonNull(kind, "kind");
    requireNonNull(timeout, "timeout");
    requireNonNull(latencyObjective, "latencyObjective");
    requireNonNull(pauseObjective, "pauseObjective");
    targets = List.copyOf(targets);
    if (targets.isEmpty()) {
      throw new IllegalArgumentException(
          "route " + name + " has no target service, at least one is required");
    }
  }

  /**
   * A service that gets a share of the route's requests.
   *
   * @param service the service
   * @param weight weight relative to the other targets, 0 or more
   */
  public record Target(ServiceName service, int weight) {}

  /**
   * Creates a builder.
   *
   * @param name name of the route
   * @return a builder without targets
   */
  public static Builder builder(String name) {
    return new Builder(name);
  }

  /**
   * Tells whether a request of this route may run more than once.
   *
   * @return true if another run is harmless
   */
  public boolean isIdempotent() {
    return kind.isIdempotent(resumable);
  }

  /**
   * Returns how long callers wait for the first output of a stream before they disconnect.
   *
   * @return the longest of a fixed time and of fixed multiples of both objectives
   */
  public Duration firstOutputTimeout() {
    Duration longest = MIN_FIRST_OUTPUT_TIMEOUT;
    Duration byLatency = latencyObjective.multipliedBy(FIRST_OUTPUT_TIMEOUT_OBJECTIVES);
    Duration byPause = pauseObjective.multipliedBy(FIRST_OUTPUT_TIMEOUT_PAUSES);
    longest = byLatency.compareTo(longest) > 0 ? byLatency : longest;
    return byPause.compareTo(longest) > 0 ? byPause : longest;
  }

  /**
   * Selects a service at random, according to the weights.
   *
   * @param random returns a number from 0 to its argument, exclusive
   * @return the selected service
   */
  public ServiceName pickService(IntUnaryOperator random) {
    int sum = targets.stream().mapToInt(Target::weight).sum();
    if (targets.size() == 1 || sum <= 0) {
      return targets.get(0).service();
    }
    int remainingWeight = random.applyAsInt(sum);
    for (Target target : targets) {
      remainingWeight -= target.weight();
      if (remainingWeight < 0) {
        return target.service();
      }
    }
    return targets.get(targets.size() - 1).service();
  }

  /** Builds a route. */
  public static final class Builder {
    private final String name;
    private final List<Target> targets = new ArrayList<>();
    private String host = "";
    private String prefix = "/";
    private RouteKind kind = RouteKind.NON_IDEMPOTENT;
    private Duration timeout = Duration.ofSeconds(30);
    private Duration latencyObjective = Duration.ofSeconds(1);
    private Duration pauseObjective = Duration.ZERO;
    private int maxAttempts = 1;
    private boolean anonymous;
    private boolean resumable;

    private Builder(String name) {
      this.name = requireNonNull(name, "name");
    }

    /**
     * Sets which requests the route matches.
     *
     * @param newHost host name of the requests
     * @param newPrefix path prefix of the requests
     * @return this builder
     */
    public Builder match(String newHost, String newPrefix) {
      host = newHost;
      prefix = newPrefix;
      return this;
    }

    /**
     * Sets whether requests may be repeated.
     *
     * @param newKind kind of the requests
     * @param newResumable whether a stream can be resumed at another upstream
     * @return this builder
     */
    public Builder kind(RouteKind newKind, boolean newResumable) {
      kind = newKind;
      resumable = newResumable;
      return this;
    }

    /**
     * Sets the timeout and the latency objective.
     *
     * @param newTimeout maximum time in which a request is served
     * @param newObjective target latency; a later response is worth less to the caller
     * @return this builder
     */
    public Builder times(Duration newTimeout, Duration newObjective) {
      timeout = newTimeout;
      latencyObjective = newObjective;
      return this;
    }

    /**
     * Sets the longest desired pause between two events of a stream.
     *
     * @param newPause the pause
     * @return this builder
     */
    public Builder pauseObjective(Duration newPause) {
      pauseObjective = newPause;
      return this;
    }

    /**
     * Adds a target.
     *
     * @param service the service
     * @param weight weight relative to the other targets, 0 or more
     * @return this builder
     */
    public Builder target(ServiceName service, int weight) {
      targets.add(new Target(service, weight));
      return this;
    }

    /**
     * Sets the maximum number of upstreams that may run one request.
     *
     * @param attempts the number; less than 1 counts as 1
     * @return this builder
     */
    public Builder maxAttempts(int attempts) {
      maxAttempts = Math.max(1, attempts);
      return this;
    }

    /**
     * Sets whether callers may omit the key.
     *
     * @param newAnonymous true if they may
     * @return this builder
     */
    public Builder anonymous(boolean newAnonymous) {
      anonymous = newAnonymous;
      return this;
    }

    /**
     * Builds the route.
     *
     * @return the route
     * @throws IllegalArgumentException if it has no target
     */
    public RouteRule build() {
      return new RouteRule(
          name,
          host,
          prefix,
          kind,
          timeout,
          latencyObjective,
          pauseObjective,
          targets,
          maxAttempts,
          anonymous,
          resumable);
    }
  }
}
