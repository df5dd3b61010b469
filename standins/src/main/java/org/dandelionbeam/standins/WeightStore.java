package org.dandelionbeam.standins;

import java.time.Duration;

/** Store of model weights that engines share; it serves one load at a time. */
public final class WeightStore {
  private final long nanosPerModel;
  private long freeAtNanos = Long.MIN_VALUE;

  private WeightStore(long nanosPerModel) {
    this.nanosPerModel = nanosPerModel;
  }

  /**
   * Returns a store.
   *
   * @param timePerModel time to load one model when no other load is in progress
   * @return the store
   */
  public static WeightStore of(Duration timePerModel) {
    return new WeightStore(timePerModel.toNanos());
  }

  synchronized Duration fetch(long nowNanos) {
    long start = freeAtNanos == Long.MIN_VALUE ? nowNanos : Math.max(freeAtNanos, nowNanos);
    freeAtNanos = start + nanosPerModel;
    return Duration.ofNanos(freeAtNanos - nowNanos);
  }
}
