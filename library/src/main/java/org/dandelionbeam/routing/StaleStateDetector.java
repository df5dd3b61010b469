package org.dandelionbeam.routing;

import java.time.Duration;

/**
 * Detects that peers have read newer versions of the store's data than this router, as happens when
 * this router's watch delivers no changes. Not thread-safe.
 */
public final class StaleStateDetector {
  /** A working watch delivers a change within this time. */
  private static final Duration PROPAGATION_TIME = Duration.ofMillis(250);

  private final Lag configuration = new Lag();
  private final Lag upstreams = new Lag();
  private StoreVersions newestPeerVersions = StoreVersions.NONE;

  private StaleStateDetector() {}

  /**
   * Creates a detector without reports of peers.
   *
   * @return the detector
   */
  public static StaleStateDetector create() {
    return new StaleStateDetector();
  }

  /**
   * Records the versions that a peer has read.
   *
   * @param versions versions of the peer
   */
  public void recordPeerVersions(StoreVersions versions) {
    newestPeerVersions = newestPeerVersions.newest(versions);
  }

  /**
   * Returns the newest versions that any peer has read.
   *
   * @return the versions
   */
  public StoreVersions newestPeerVersions() {
    return newestPeerVersions;
  }

  /**
   * Tells whether the configuration should be read again, and if so restarts the delay.
   *
   * @param own versions that this router has read
   * @param nowNanos monotonic time
   * @return true if a peer has had a newer version for longer than the propagation time
   */
  public boolean configurationIsDue(StoreVersions own, long nowNanos) {
    return configuration.isDue(own.configuration() < newestPeerVersions.configuration(), nowNanos);
  }

  /**
   * Tells whether the upstreams should be listed again, and if so restarts the delay.
   *
   * @param own versions that this router has read
   * @param nowNanos monotonic time
   * @return true if a peer has had a newer revision for longer than the propagation time
   */
  public boolean upstreamsAreDue(StoreVersions own, long nowNanos) {
    return upstreams.isDue(own.upstreams() < newestPeerVersions.upstreams(), nowNanos);
  }

  /** Time for which this router has been behind its peers in one kind of data. */
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
