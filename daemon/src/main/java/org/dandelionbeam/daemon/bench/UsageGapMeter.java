package org.dandelionbeam.daemon.bench;

import java.util.Arrays;

/**
 * Measures the largest difference in usage that any two teams gained over any period in which both
 * were backlogged.
 */
final class UsageGapMeter {
  private final double[] usage;
  private final int[] waiting;
  private final double[][] minDifference;
  private final double[][] maxDifference;
  private double maxGap;

  UsageGapMeter(int teams) {
    usage = new double[teams];
    waiting = new int[teams];
    minDifference = new double[teams][teams];
    maxDifference = new double[teams][teams];
  }

  /** Records that a ticket of a team begins to wait. */
  void arrived(int team) {
    if (waiting[team]++ == 0) {
      for (int other = 0; other < usage.length; other++) {
        double difference = difference(team, other);
        minDifference[Math.min(team, other)][Math.max(team, other)] = difference;
        maxDifference[Math.min(team, other)][Math.max(team, other)] = difference;
      }
    }
  }

  /** Records that a ticket of a team was granted or refused. */
  void stoppedWaiting(int team) {
    waiting[team]--;
  }

  /** Adds the cost of a finished request to the usage of its team. */
  void finished(int team, double cost) {
    usage[team] += cost;
    for (int other = 0; other < usage.length; other++) {
      if (other != team && waiting[team] > 0 && waiting[other] > 0) {
        recordDifference(Math.min(team, other), Math.max(team, other));
      } else if (other != team) {
        restartWindow(Math.min(team, other), Math.max(team, other));
      }
    }
  }

  double maxGap() {
    return maxGap;
  }

  double totalUsage() {
    return Arrays.stream(usage).sum();
  }

  private double difference(int team, int other) {
    return usage[Math.min(team, other)] - usage[Math.max(team, other)];
  }

  private void recordDifference(int one, int two) {
    double difference = usage[one] - usage[two];
    minDifference[one][two] = Math.min(minDifference[one][two], difference);
    maxDifference[one][two] = Math.max(maxDifference[one][two], difference);
    maxGap = Math.max(maxGap, maxDifference[one][two] - minDifference[one][two]);
  }

  private void restartWindow(int one, int two) {
    minDifference[one][two] = usage[one] - usage[two];
    maxDifference[one][two] = minDifference[one][two];
  }
}
