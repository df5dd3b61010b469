package org.dandelionbeam.routing;

import java.time.Duration;

/**
 * Kinds of data that routers read from the platform's key-value store. Each has a pause between
 * calls that fetch changes: the more often the data changes, and the less its age matters, the
 * longer it is.
 */
public enum StoreData {
  /** What operators write: the configuration and the failure domains out of service. */
  OPERATORS(Duration.ofMillis(60)),
  /** Entries of upstreams. */
  UPSTREAMS(Duration.ofMillis(400)),
  /** Registrations of routers. */
  ROUTERS(Duration.ofSeconds(2));

  private final Duration pause;

  StoreData(Duration pause) {
    this.pause = pause;
  }

  /**
   * Returns the pause between two calls that fetch changes.
   *
   * @return the pause
   */
  public Duration pause() {
    return pause;
  }
}
