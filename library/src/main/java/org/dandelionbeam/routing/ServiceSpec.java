package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;

/**
 * Configuration of a service.
 *
 * @param name name of the service
 * @param coldStart how long an upstream is cold after its start
 * @param coldRequestsPerSecond request rate that a cold upstream can serve
 * @param engine capacity of each upstream that is a batching model engine; empty for a plain
 *     service
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
   * Capacity of a batching model engine.
   *
   * @param slots maximum number of concurrent requests
   * @param memoryTokens memory for running requests and cached prompt parts, in tokens
   */
  public record EngineSpec(int slots, long memoryTokens) {}
}
