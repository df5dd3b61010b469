package org.dandelionbeam.daemon.bench;

import java.util.Arrays;

/** Tracks the largest cost that one team had in flight on each engine. */
final class InFlightMeter {
  private final double[][] inFlight;
  private final double[] maxInFlight;

  InFlightMeter(int engines, int teams) {
    inFlight = new double[engines][teams];
    maxInFlight = new double[engines];
  }

  void started(int engine, int team, double cost) {
    inFlight[engine][team] += cost;
    maxInFlight[engine] = Math.max(maxInFlight[engine], inFlight[engine][team]);
  }

  void ended(int engine, int team, double cost) {
    inFlight[engine][team] -= cost;
  }

  double sumOfMaxima() {
    return Arrays.stream(maxInFlight).sum();
  }
}
