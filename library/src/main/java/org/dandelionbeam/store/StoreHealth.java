package org.dandelionbeam.store;

/** Health of the platform's key-value store as this node sees it, with hysteresis. */
public final class StoreHealth {
  private static final int FAILURES_UNTIL_OUT = 3;
  private static final int SUCCESSES_UNTIL_UP = 3;
  private static final double SMOOTHING = 0.2;

  private final long slowThresholdNanos;
  private State state = State.UP;
  private double latencyNanos;
  private int consecutiveFailures;
  private int consecutiveSuccesses;

  private StoreHealth(long slowThresholdNanos) {
    this.slowThresholdNanos = slowThresholdNanos;
  }

  /**
   * Returns a tracker that has not seen a call yet.
   *
   * @param slowThresholdNanos mean latency above which the store counts as slow; it stays slow
   *     until the mean falls to half of this
   * @return the tracker, in state {@link State#UP}
   */
  public static StoreHealth of(long slowThresholdNanos) {
    return new StoreHealth(slowThresholdNanos);
  }

  /**
   * Records a call that was answered.
   *
   * @param callNanos time from sending the call to its response
   */
  public void answered(long callNanos) {
    consecutiveFailures = 0;
    consecutiveSuccesses++;
    latencyNanos += SMOOTHING * (callNanos - latencyNanos);
    if (state != State.OUT || consecutiveSuccesses >= SUCCESSES_UNTIL_UP) {
      state = stateOfLatency();
    }
  }

  /** Records a call that was refused, broke off or was not answered in time. */
  public void failed() {
    consecutiveSuccesses = 0;
    consecutiveFailures++;
    if (consecutiveFailures >= FAILURES_UNTIL_OUT) {
      state = State.OUT;
    }
  }

  /**
   * Returns the current state.
   *
   * @return the state
   */
  public State state() {
    return state;
  }

  private State stateOfLatency() {
    double threshold = state == State.SLOW ? slowThresholdNanos / 2.0 : slowThresholdNanos;
    return latencyNanos > threshold ? State.SLOW : State.UP;
  }

  /** State of the store. */
  public enum State {
    /** Calls are answered in time. */
    UP,
    /** Calls are answered, but late. */
    SLOW,
    /** Calls are not answered. */
    OUT
  }
}
