package org.dandelionbeam.daemon.bench;

/**
 * Compares the longest wait of a team with the longest wait that its fair share of the capacity
 * alone would give.
 *
 * <p>The fair wait of a request is the time to its end when the team's requests are served one
 * after the other at the team's share of the capacity.
 */
final class FairWaitMeter {
  private static final double NANOS_PER_SECOND = 1e9;

  private final double unitsPerSecond;
  private double endNanos;
  private double longestFairNanos;
  private double longestNanos;

  FairWaitMeter(double unitsPerSecond) {
    this.unitsPerSecond = unitsPerSecond;
  }

  void arrived(double cost, long nowNanos) {
    endNanos = Math.max(endNanos, nowNanos) + cost / unitsPerSecond * NANOS_PER_SECOND;
    longestFairNanos = Math.max(longestFairNanos, endNanos - nowNanos);
  }

  void waited(long nanos) {
    longestNanos = Math.max(longestNanos, nanos);
  }

  double longestSeconds() {
    return longestNanos / NANOS_PER_SECOND;
  }

  double ratio() {
    return longestNanos / longestFairNanos;
  }
}
