package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Detects that peers have read newer versions of the store's data than this router, as happens when
 * this router's watch delivers no changes. Not thread-safe.
 */
public final class StaleStateDetector {
  /** A call that works fetches a change within this time after the pause between calls. */
  private static final Duration PROPAGATION_TIME = Duration.ofMillis(500);

  private final Map<StoreData, Lag> lags = new EnumMap<>(StoreData.class);
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
   * Tells whether peers have read a newer version of the data.
   *
   * @param data kind of data
   * @param own versions that this router has read
   * @return true if a peer has a newer one
   */
  public boolean isBehind(StoreData data, StoreVersions own) {
    return own.isOlderThan(newestPeerVersions, data);
  }

  /**
   * Tells whether the data should be listed again, and if so restarts the delay.
   *
   * @param data kind of data
   * @param own versions that this router has read
   * @param nowNanos monotonic time
   * @return true if a peer has had a newer version for longer than the propagation time
   */
  public boolean isOverdue(StoreData data, StoreVersions own, long nowNanos) {
    return lags.computeIfAbsent(data, Lag::new).isDue(isBehind(data, own), nowNanos);
  }

  /**
   * Returns for how long this router has been behind its peers.
   *
   * @param data kind of data
   * @param own versions that this router has read
   * @param nowNanos monotonic time
   * @return time since a check found a peer with a newer version, zero if no peer has one
   */
  public Duration behindFor(StoreData data, StoreVersions own, long nowNanos) {
    Lag lag = lags.get(data);
    return lag == null || !isBehind(data, own) ? Duration.ZERO : lag.length(nowNanos);
  }

  /** Time for which this router has been behind its peers in one kind of data. */
  private static final class Lag {
    private final long toleratedNanos;
    private boolean behind;
    private long sinceNanos;
    private OptionalLong firstNanos = OptionalLong.empty();

    Lag(StoreData data) {
      toleratedNanos = data.pause().plus(PROPAGATION_TIME).toNanos();
    }

    boolean isDue(boolean isBehind, long nowNanos) {
      recordCheck(isBehind, nowNanos);
      if (!isBehind || !behind) {
        sinceNanos = nowNanos;
      }
      boolean due = isBehind && nowNanos - sinceNanos >= toleratedNanos;
      behind = isBehind && !due;
      return due;
    }

    private void recordCheck(boolean isBehind, long nowNanos) {
      if (!isBehind) {
        firstNanos = OptionalLong.empty();
      } else if (firstNanos.isEmpty()) {
        firstNanos = OptionalLong.of(nowNanos);
      }
    }

    /** Returns the time since the first of the checks that all found this router behind. */
    Duration length(long nowNanos) {
      return Duration.ofNanos(nowNanos - firstNanos.orElse(nowNanos));
    }
  }
}
