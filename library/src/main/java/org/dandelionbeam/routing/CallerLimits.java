package org.dandelionbeam.routing;

import java.time.Duration;

/**
 * Limits on the size of a caller's requests and on the time that it may take to send them.
 *
 * @param maxHeaderBytes maximum size of a request's start line and headers, each
 * @param maxBodyBytes maximum size of a request's body
 * @param headerTimeout longest time that a caller may let pass while it sends a request: until its
 *     headers are complete, and between two parts of its body
 * @param idleTimeout time after which a connection without a request is closed
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** Limits that apply until a configuration is loaded. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16_384, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
