package org.dandelionbeam.routing.wiring;

import java.time.Duration;

/** Times after which callers whose requests have not run may return, by what kept them from it. */
final class RetryAfter {
  /** Another upstream usually has a free slot by then. */
  static final Duration UPSTREAM_FAILURE = Duration.ofMillis(300);

  /** Other routers serve the caller meanwhile. */
  static final Duration DRAINING = Duration.ofMillis(50);

  /** A starting router has loaded its configuration by then. */
  static final Duration NOT_READY = Duration.ofMillis(500);

  /** A call to the store that failed is repeated within this time. */
  static final Duration STORE_FAILURE = Duration.ofMillis(500);

  /** Longer than callers wait for a stream, as this one can't go on. */
  static final Duration UNKNOWN_STREAM = Duration.ofSeconds(60);

  private RetryAfter() {}
}
