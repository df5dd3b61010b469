package org.dandelionbeam.routing;

import java.time.Duration;

/**
 * Notices that peers know newer versions of the store than this router, whose watch may be silent.
 * Not thread-safe.
 */
public final class StaleStateDetector {
  /** A change reaches all watches within this time if they work. */
  private static final Duration PROPAGATION_TIME = Duration.ofMillis(250);

  private final Lag configuration = new Lag();
  private final Lag upstreams = new Lag();
  private StoreVersions newestPeerVersions = StoreVersions.NONE;

  private StaleStateDetector() {}

  /**
   * Returns a state in which no peer was heard.
   *
   * @return the state
   */
  public static StaleStateDetector create() {
    return new StaleStateDetector();
  }

  /**
   * Takes the versions that a peer knows.
   *
   * @param versions its versions
   */
  public void recordPeerVersions(StoreVersions versions) {
    newestPeerVersions = newestPeerVersions.newest(versions);
  }

  /**
   * Returns the newest versions that any peer knows.
   *
   * @return the versions
   */
  public StoreVersions newestPeerVersions() {
    return newestPeerVersions;
  }

  /**
   * Tells whether the configuration should be read again. After that the time starts anew.
   *
   * @param own versions that this router knows
   * @param nowNanos monotonic time
   * @return true if a peer has known a newer one for some time
   */
  public boolean configurationIsDue(StoreVersions own, long nowNanos) {
    return configuration.isDue(own.configuration() < newestPeerVersions.configuration(), nowNanos);
  }

  /**
   * Tells whether the upstreams should be listed again. After that the time starts anew.
   *
   * @param own versions that this router knows
   * @param nowNanos monotonic time
   * @return true if a peer has known a newer revision for some time
   */
  public boolean upstreamsAreDue(StoreVersions own, long nowNanos) {
    return upstreams.isDue(own.upstreams() < newestPeerVersions.upstreams(), nowNanos);
  }

  /** How long this router has been behind its peers in one kind of news. */
  private static final class Lag {
    private boolean behind;
    private long sinceNanos;

    boolean isDue(boolean isBehind, long nowNanos) {
      if (!isBehind || !behind) {
        sinceNanos = nowNanos;
      }
      boolean due = isBehind && nowNanos - sinceNanos >= PROPAGATION_TIME.toNanos();
      behind = isBehind && !due;
      return due;
    }
  }
}
