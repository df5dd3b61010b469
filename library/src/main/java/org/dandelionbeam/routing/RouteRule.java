package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntUnaryOperator;

/**
 * One route of the configuration: which requests it takes, and how they are served.
 *
 * @param name name of the route
 * @param host host that callers name
 * @param prefix beginning of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param timeout longest time that a caller is kept waiting
 * @param latencyObjective time within which an answer has its full value
 * @param pauseObjective longest pause between the events of a stream; zero if there is none
 * @param targets services and their weights, at least one
 * @param maxAttempts most upstreams that one request may be sent to
 * @param anonymous whether callers need no key
 * @param resumable whether a stream may go on at another upstream
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
  /** Callers of streams leave after the longest of this time and of the two multiples below. */
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
      throw new IllegalArgumentException("route " + name + " names no service");
    }
  }

  /**
   * Share of a route's requests that a service gets.
   *
   * @param service the service
   * @param weight weight against the other targets, 0 or more
   */
  public record Target(ServiceName service, int weight) {}

  /**
   * Starts a route.
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
   * @return true if another run does no harm
   */
  public boolean isIdempotent() {
    return kind.isIdempotent(resumable);
  }

  /**
   * Returns how long callers wait for the first output of a stream before they leave.
   *
   * @return the longest of a fixed time and of multiples of both objectives
   */
  public Duration firstOutputTimeout() {
    Duration longest = MIN_FIRST_OUTPUT_TIMEOUT;
    Duration byLatency = latencyObjective.multipliedBy(FIRST_OUTPUT_TIMEOUT_OBJECTIVES);
    Duration byPause = pauseObjective.multipliedBy(FIRST_OUTPUT_TIMEOUT_PAUSES);
    longest = byLatency.compareTo(longest) > 0 ? byLatency : longest;
    return byPause.compareTo(longest) > 0 ? byPause : longest;
  }

  /**
   * Draws a service by the weights.
   *
   * @param random returns a number from 0 up to, but without, its argument
   * @return the service
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

  /** Collects the values of a route. */
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
     * Sets which requests the route takes.
     *
     * @param newHost host that callers name
     * @param newPrefix beginning of the path
     * @return this builder
     */
    public Builder match(String newHost, String newPrefix) {
      host = newHost;
      prefix = newPrefix;
      return this;
    }

    /**
     * Sets what may be repeated.
     *
     * @param newKind kind of the requests
     * @param newResumable whether a stream may go on at another upstream
     * @return this builder
     */
    public Builder kind(RouteKind newKind, boolean newResumable) {
      kind = newKind;
      resumable = newResumable;
      return this;
    }

    /**
     * Sets the times.
     *
     * @param newTimeout longest wait of a caller
     * @param newObjective time within which an answer has its full value
     * @return this builder
     */
    public Builder times(Duration newTimeout, Duration newObjective) {
      timeout = newTimeout;
      latencyObjective = newObjective;
      return this;
    }

    /**
     * Sets the longest pause between the events of a stream.
     *
     * @param newPause the pause
     * @return this builder
     */
    public Builder pauseObjective(Duration newPause) {
      pauseObjective = newPause;
      return this;
    }

    /**
     * Adds a service.
     *
     * @param service the service
     * @param weight its weight
     * @return this builder
     */
    public Builder target(ServiceName service, int weight) {
      targets.add(new Target(service, weight));
      return this;
    }

    /**
     * Sets how many upstreams a request may be sent to.
     *
     * @param attempts 1 or more
     * @return this builder
     */
    public Builder maxAttempts(int attempts) {
      maxAttempts = Math.max(1, attempts);
      return this;
    }

    /**
     * Sets whether callers need no key.
     *
     * @param newAnonymous true if they need none
     * @return this builder
     */
    public Builder anonymous(boolean newAnonymous) {
      anonymous = newAnonymous;
      return this;
    }

    /**
     * Makes the route.
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
