package org.dandelionbeam.claims;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Limits of claims; the number of buckets and the retention are the same on all nodes.
 *
 * @param buckets number of buckets, at least 1; a change forgets all claims
 * @param retention how long a key stays claimed
 * @param claimTimeout longest wait for a claim
 * @param confirmationTimeout a write that is confirmed later than this does not count
 * @param maxOutcomeDelay longest wait of a recorded outcome for other writes of its bucket
 * @param maxPending most claims that wait on this node
 */
public record ClaimSettings(
    int buckets,
    Duration retention,
    Duration claimTimeout,
    Duration confirmationTimeout,
    Duration maxOutcomeDelay,
    int maxPending) {
  private static final int DEFAULT_BUCKETS = 256;
  private static final int DEFAULT_MAX_PENDING = 2_000;

  /** Checks the numbers. */
  public ClaimSettings {
    requireNonNull(claimTimeout, "claimTimeout");
    requireNonNull(maxOutcomeDelay, "maxOutcomeDelay");
    if (buckets < 1 || maxPending < 1) {
      throw new IllegalArgumentException("need at least 1: " + buckets + ", " + maxPending);
    }
    if (confirmationTimeout.multipliedBy(2).compareTo(retention) > 0) {
      throw new IllegalArgumentException("retention must be twice the freshness at least");
    }
  }

  /**
   * Returns the terms that hold where nothing else is set.
   *
   * @return 256 buckets, 24 hours of retention
   */
  public static ClaimSettings defaults() {
    return new ClaimSettings(
        DEFAULT_BUCKETS,
        Duration.ofHours(24),
        Duration.ofSeconds(2),
        Duration.ofSeconds(2),
        Duration.ofSeconds(1),
        DEFAULT_MAX_PENDING);
  }
}
