package org.dandelionbeam.claims;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Settings of claims. The number of buckets and the retention must be the same on all nodes.
 *
 * @param buckets number of buckets, at least 1; a change loses all earlier claims
 * @param retention how long a key stays claimed; at least twice {@code confirmationTimeout}
 * @param claimTimeout longest time until a claim is answered
 * @param confirmationTimeout a claim whose write is confirmed later than this after its sending is
 *     refused
 * @param maxOutcomeDelay longest time that a recorded outcome waits to share a write with other
 *     operations of its bucket
 * @param maxPending largest number of claims that may be pending on this node
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

  /**
   * Checks the settings.
   *
   * @throws IllegalArgumentException if a number is out of range
   */
  public ClaimSettings {
    requireNonNull(claimTimeout, "claimTimeout");
    requireNonNull(maxOutcomeDelay, "maxOutcomeDelay");
    if (buckets < 1 || maxPending < 1) {
      throw new IllegalArgumentException(
          "buckets and maxPending must be at least 1, found " + buckets + " and " + maxPending);
    }
    if (confirmationTimeout.multipliedBy(2).compareTo(retention) > 0) {
      throw new IllegalArgumentException("retention must be at least twice confirmationTimeout");
    }
  }

  /**
   * Returns the default settings.
   *
   * @return settings with 256 buckets and 24 hours of retention
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
