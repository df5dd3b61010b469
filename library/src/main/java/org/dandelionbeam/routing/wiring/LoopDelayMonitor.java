package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Measures how late an event loop runs a periodic task, which is how long new events wait for it.
 */
final class LoopDelayMonitor {
  private final long intervalNanos;
  private long lastNanos;
  private long maxDelayNanos;

  LoopDelayMonitor(Duration interval, long nowNanos) {
    intervalNanos = requireNonNull(interval, "interval").toNanos();
    lastNanos = nowNanos;
  }

  /** Records a run of the task. */
  void recordRun(long nowNanos) {
    maxDelayNanos = Math.max(maxDelayNanos, nowNanos - lastNanos - intervalNanos);
    lastNanos = nowNanos;
  }

  /** Returns the longest delay since the last call of {@link #takeMaxDelay}. */
  Duration maxDelay() {
    return Duration.ofNanos(maxDelayNanos);
  }

  /** Returns the longest delay since the last call. */
  Duration takeMaxDelay() {
    Duration taken = Duration.ofNanos(maxDelayNanos);
    maxDelayNanos = 0;
    return taken;
  }
}
