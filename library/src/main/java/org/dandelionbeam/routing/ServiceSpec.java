package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;

/**
 * What the operators say of a service.
 *
 * @param name name of the service
 * @param coldStart how long an upstream stays cold after a start
 * @param coldRequestsPerSecond requests per second that a cold upstream bears
 * @param engine figures of a batching model engine; empty for a plain service
 */
public record ServiceSpec(
    ServiceName name,
    Duration coldStart,
    double coldRequestsPerSecond,
    Optional<EngineSpec> engine) {

  /** Checks the values. */
  public ServiceSpec {
    requireNonNull(name, "name");
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
