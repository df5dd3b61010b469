package org.dandelionbeam.upstream;

import java.util.Arrays;

/**
 * Tracks the usual latency of one upstream and how much slower its latest completions were.
 *
 * <p>Latencies are compared as geometric means, because these stay steady for a mixture of short
 * and long requests. The latest completions count as slow only if both their time to first byte and
 * their time per cost unit are above the baseline: a long generation has a usual time to first
 * byte, a long prompt a usual time per unit.
 */
final class LatencyMonitor {
  /** Number of latest completions that show a sudden change. */
  static final int SHORT_WINDOW = 8;

  /** Number of latest completions that show an overload. */
  static final int LONG_WINDOW = 16;

  private static final int MIN_BASELINE_SAMPLES = 16;
  private static final int KEPT_SAMPLES = 64;
  private static final double SLOW_BASELINE_WEIGHT = 0.25;
  private static final double SLOW_RATIO = 2.0;
  private static final double MAX_DEVIATION = Math.log(64);
  private static final double FAILURE_DEVIATION = Math.log(16);
  private static final double NANOS_PER_MILLISECOND = 1e6;

  private final double[] firstByteDeviations = new double[KEPT_SAMPLES];
  private final double[] unitTimeDeviations = new double[KEPT_SAMPLES];
  private final double[] totalNanos = new double[KEPT_SAMPLES];
  private final long[] endNanos = new long[KEPT_SAMPLES];
  private int nextSlot;
  private int deviationsAdded;
  private int concurrentCompletions;
  private long completions;
  private double baselineLogFirstByte;
  private double baselineLogUnitTime;

  /**
   * Records a completed request.
   *
   * @param cost measured cost in the unit of the service, 0 if unknown
   * @param firstByteNanos time from the start to the first byte, 0 if only the end is known
   * @param elapsedNanos time from the start to the end
   * @param nowNanos monotonic time of the end
   */
  void completed(double cost, long firstByteNanos, long elapsedNanos, long nowNanos) {
    double logFirstByte = log(firstByteNanos > 0 ? firstByteNanos : elapsedNanos);
    boolean costIsInformative = isInformative(cost, elapsedNanos);
    double logUnitTime = costIsInformative ? log(elapsedNanos / cost) : logFirstByte;
    if (hasBaseline()) {
      addDeviations(
          logFirstByte - baselineLogFirstByte, logUnitTime - baselineLogUnitTime, nowNanos);
    }
    concurrentCompletions = costIsInformative ? 0 : endedSince(nowNanos - elapsedNanos);
    updateBaseline(logFirstByte, logUnitTime);
    totalNanos[(int) (completions % KEPT_SAMPLES)] = elapsedNanos;
    completions++;
  }

  /**
   * Records an attempt without a response; it counts as very slow.
   *
   * @param nowNanos monotonic time of the end
   */
  void failed(long nowNanos) {
    addDeviations(FAILURE_DEVIATION, FAILURE_DEVIATION, nowNanos);
    concurrentCompletions = 0;
  }

  /**
   * Records an attempt whose caller gave up before the first byte.
   *
   * @param waitedNanos how long the caller waited; a wait below the baseline is ignored
   * @param nowNanos monotonic time of the end
   */
  void abandoned(long waitedNanos, long nowNanos) {
    double deviation = log(waitedNanos) - baselineLogFirstByte;
    if (hasBaseline() && deviation > 0) {
      addDeviations(deviation, deviation, nowNanos);
    }
  }

  /**
   * Returns how many times slower than the baseline the latest completions were.
   *
   * <p>Where the cost does not distinguish short requests from long ones, long requests that
   * started together also end together and would look like a slowdown. In that case all completions
   * since the latest completed request started are taken, if they are more.
   *
   * @param minCompletions smallest number of completions to take, at most {@link #LONG_WINDOW}
   * @return the ratio; 1 while no baseline is known
   */
  double slowness(int minCompletions) {
    double byFirstByte = 0;
    double byUnitTime = 0;
    int count = Math.max(minCompletions, concurrentCompletions);
    for (int back = 1; back <= count; back++) {
      int slot = Math.floorMod(nextSlot - back, KEPT_SAMPLES);
      byFirstByte += firstByteDeviations[slot];
      byUnitTime += unitTimeDeviations[slot];
    }
    return Math.exp(Math.min(byFirstByte, byUnitTime) / count);
  }

  /** Returns the longest total time of the latest completions, infinity without a baseline. */
  double longestTotalNanos() {
    return hasBaseline() ? Arrays.stream(totalNanos).max().orElse(0) : Double.POSITIVE_INFINITY;
  }

  private boolean hasBaseline() {
    return completions >= MIN_BASELINE_SAMPLES;
  }

  /**
   * Moves the baseline towards a completion. Slow completions get less weight, because the baseline
   * would otherwise adapt to a cold start and hide it.
   */
  private void updateBaseline(double logFirstByte, double logUnitTime) {
    double weight = 1.0 / Math.min(completions + 1, KEPT_SAMPLES);
    if (completions >= KEPT_SAMPLES && slowness(SHORT_WINDOW) >= SLOW_RATIO) {
      weight *= SLOW_BASELINE_WEIGHT;
    }
    baselineLogFirstByte += weight * (logFirstByte - baselineLogFirstByte);
    baselineLogUnitTime += weight * (logUnitTime - baselineLogUnitTime);
  }

  private int endedSince(long nanos) {
    int count = 0;
    while (count < Math.min(deviationsAdded, KEPT_SAMPLES)
        && endNanos[Math.floorMod(nextSlot - count - 1, KEPT_SAMPLES)] - nanos >= 0) {
      count++;
    }
    return count;
  }

  private void addDeviations(double firstByteDeviation, double unitTimeDeviation, long nowNanos) {
    firstByteDeviations[nextSlot] = clamp(firstByteDeviation);
    unitTimeDeviations[nextSlot] = clamp(unitTimeDeviation);
    endNanos[nextSlot] = nowNanos;
    nextSlot = (nextSlot + 1) % KEPT_SAMPLES;
    deviationsAdded++;
  }

  private static double clamp(double deviation) {
    return Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, deviation));
  }

  private static double log(double nanos) {
    return Math.log(Math.max(1, nanos));
  }

  /**
   * Tells whether a cost says anything about the speed. A cost of one call does not, nor does a
   * cost that is the latency itself in milliseconds.
   */
  private static boolean isInformative(double cost, long elapsedNanos) {
    return cost > 1 && Math.abs(elapsedNanos / NANOS_PER_MILLISECOND - cost) > 1;
  }
}
