package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;

/**
 * What the operators say of a service.
 *
 * @param name name of the service
 * @param healthPath path of the health check of its upstreams
 * @param maxConnections connections that an upstream accepts from all routers together
 * @param coldStart how long an upstream stays cold after a start
 * @param coldRequestsPerSecond requests per second that a cold upstream bears
 * @param engine figures of a batching model engine; empty for a plain service
 */
public record ServiceSpec(
    ServiceName name,
    String healthPath,
    int maxConnections,
    Duration coldStart,
    double coldRequestsPerSecond,
    Optional<EngineSpec> engine) {

  /** Checks the values. */
  public ServiceSpec {
    requireNonNull(name, "name");
    requireNonNull(healthPath, "healthPath");
    requireNonNull(coldStart, "coldStart");
    requireNonNull(engine, "engine");
  }

  /**
   * Figures of a batching model engine.
   *
   * @param slots requests that run at once
   * @param memoryTokens tokens of running requests and cached prompt parts that fit in memory
   */
  public record EngineSpec(int slots, long memoryTokens) {}
}
