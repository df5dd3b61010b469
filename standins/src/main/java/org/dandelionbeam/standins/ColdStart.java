package org.dandelionbeam.standins;

/** Tracks whether an engine is cold and the requests in flight that it takes while cold. */
final class ColdStart {
  private final int maxInFlight;
  private final int completionsUntilWarm;
  private int completionsLeft;
  private int maxInFlightWhileCold;
  private int overloads;

  ColdStart(int maxInFlight, int completionsUntilWarm, boolean cold) {
    this.maxInFlight = maxInFlight;
    this.completionsUntilWarm = completionsUntilWarm;
    this.completionsLeft = cold ? completionsUntilWarm : 0;
  }

  boolean isCold() {
    return completionsLeft > 0;
  }

  void turnCold() {
    completionsLeft = completionsUntilWarm;
  }

  void recordCompletion() {
    completionsLeft = Math.max(0, completionsLeft - 1);
  }

  /** Records the number of requests in flight and returns true if a cold engine is overloaded. */
  boolean recordInFlight(int inFlight) {
    if (!isCold()) {
      return false;
    }
    maxInFlightWhileCold = Math.max(maxInFlightWhileCold, inFlight);
    if (inFlight <= maxInFlight) {
      return false;
    }
    overloads++;
    return true;
  }

  int maxInFlightWhileCold() {
    return maxInFlightWhileCold;
  }

  int overloads() {
    return overloads;
  }
}
