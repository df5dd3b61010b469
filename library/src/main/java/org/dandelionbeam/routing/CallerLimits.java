package org.dandelionbeam.routing;

import java.time.Duration;

/**
 * Bounds of what a caller may send and how long it may take.
 *
 * @param maxHeaderBytes most bytes of a request's head
 * @param maxBodyBytes most bytes of a request's body
 * @param headerTimeout longest time from the first byte of a request to the end of its head
 * @param idleTimeout longest time that a connection may stay without a request
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** Limits that hold until a configuration is known. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16_384, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
