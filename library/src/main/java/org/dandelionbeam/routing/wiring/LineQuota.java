package org.dandelionbeam.routing.wiring;

/** Limits the lines of one kind that are logged in a second, and counts those left out. */
final class LineQuota {
  private static final long SECOND_NANOS = 1_000_000_000L;

  private final int maxPerSecond;
  private long secondStartNanos;
  private int lines;
  private long leftOut;
  private long leftOutBefore;

  LineQuota(int maxPerSecond, long nowNanos) {
    this.maxPerSecond = maxPerSecond;
    secondStartNanos = nowNanos;
  }

  /** Returns whether one more line may be logged, and counts it. */
  boolean tryTake(long nowNanos) {
    if (nowNanos - secondStartNanos >= SECOND_NANOS) {
      secondStartNanos = nowNanos;
      lines = 0;
      leftOutBefore += leftOut;
      leftOut = 0;
    }
    lines++;
    if (lines > maxPerSecond) {
      leftOut++;
      return false;
    }
    return true;
  }

  /** Returns the lines left out in earlier seconds since the last call. */
  long takeLeftOut() {
    long taken = leftOutBefore;
    leftOutBefore = 0;
    return taken;
  }
}
