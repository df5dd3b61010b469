package org.dandelionbeam.standins;

/** Whether an engine is cold, and how much it bears while it is. */
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

  /** Notes a number of requests in flight and tells whether the engine falls over. */
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
