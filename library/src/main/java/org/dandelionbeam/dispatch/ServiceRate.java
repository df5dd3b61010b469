package org.dandelionbeam.dispatch;

import java.time.Duration;

/**
 * Rate at which one queue is served, as an exponentially decaying average over about 10 seconds.
 */
final class ServiceRate {
  private static final double AVERAGING_NANOS = Duration.ofSeconds(10).toNanos();
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MIN_AVERAGING_NANOS = Duration.ofSeconds(1).toNanos();

  private double requests;
  private double cost;
  private long firstNanos;
  private long lastNanos;
  private boolean started;

  void record(double requestCost, long nowNanos) {
    if (!started) {
      started = true;
      firstNanos = nowNanos;
      lastNanos = nowNanos;
    }
    double decay = decay(nowNanos);
    requests = requests * decay + 1;
    cost = cost * decay + requestCost;
    lastNanos = nowNanos;
  }

  double requestsPerSecond(long nowNanos) {
    return requests * decay(nowNanos) * NANOS_PER_SECOND / averagingNanos(nowNanos);
  }

  double costPerSecond(long nowNanos) {
    return cost * decay(nowNanos) * NANOS_PER_SECOND / averagingNanos(nowNanos);
  }

  private double decay(long nowNanos) {
    return Math.exp((lastNanos - nowNanos) / AVERAGING_NANOS);
  }

  private double averagingNanos(long nowNanos) {
    return Math.max(MIN_AVERAGING_NANOS, Math.min(AVERAGING_NANOS, nowNanos - firstNanos));
  }
}
