package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Recent failures of the upstreams, as seen by this router. Not thread-safe. */
public final class UpstreamHealth {
  /**
   * Time for which an unreachable upstream is avoided at first; each further failure doubles it.
   */
  private static final Duration FIRST_AVOIDANCE = Duration.ofMillis(500);

  private static final Duration MAX_AVOIDANCE = Duration.ofSeconds(4);

  /** An upstream that asks for a longer rest has most likely sent a wrong value. */
  private static final Duration MAX_REST = Duration.ofMinutes(2);

  private static final int MAX_DOUBLINGS = 3;
  private static final double ERROR_RATE_WEIGHT = 0.15;

  /**
   * Number of broken exchanges without output in between after which an upstream counts as down.
   */
  private static final int BROKEN_EXCHANGES_BEFORE_AVOIDANCE = 2;

  private final Map<InstanceId, State> states = new HashMap<>();

  private UpstreamHealth() {}

  /**
   * Creates a record without observations.
   *
   * @return the record
   */
  public static UpstreamHealth create() {
    return new UpstreamHealth();
  }

  /**
   * Records a complete response.
   *
   * @param id the upstream
   * @param good whether the upstream served the request without an error
   */
  public void recordResponse(InstanceId id, boolean good) {
    State state = states.computeIfAbsent(id, key -> new State());
    state.errorRate += ERROR_RATE_WEIGHT * ((good ? 0 : 1) - state.errorRate);
    state.avoidUntilNanos = Long.MIN_VALUE;
    state.brokenExchanges = 0;
    state.avoidances = 0;
  }

  /**
   * Records output of an upstream, which shows that it is alive even if the response breaks off
   * later.
   *
   * @param id the upstream
   */
  public void recordOutput(InstanceId id) {
    State state = states.get(id);
    if (state != null) {
      state.brokenExchanges = 0;
    }
  }

  /**
   * Records that no connection to an upstream could be opened, or that another instance answers at
   * its address.
   *
   * @param id the upstream
   * @param nowNanos monotonic time
   */
  public void recordUnreachable(InstanceId id, long nowNanos) {
    State state = states.computeIfAbsent(id, key -> new State());
    state.brokenExchanges = Math.max(state.brokenExchanges, BROKEN_EXCHANGES_BEFORE_AVOIDANCE);
    avoid(state, nowNanos);
  }

  /**
   * Records that an exchange broke off before the response was complete.
   *
   * <p>A single broken exchange doesn't cause avoidance, since it may be one lost response, and
   * other engines would have to prefill the prompts that the upstream has cached.
   *
   * @param id the upstream
   * @param nowNanos monotonic time
   */
  public void recordBrokenExchange(InstanceId id, long nowNanos) {
    State state = states.computeIfAbsent(id, key -> new State());
    state.errorRate += ERROR_RATE_WEIGHT * (1 - state.errorRate);
    state.brokenExchanges++;
    if (state.brokenExchanges >= BROKEN_EXCHANGES_BEFORE_AVOIDANCE) {
      avoid(state, nowNanos);
    }
  }

  private static void avoid(State state, long nowNanos) {
    int repeats = Math.min(state.avoidances, MAX_DOUBLINGS);
    long avoidance = FIRST_AVOIDANCE.toNanos() << repeats;
    state.avoidances++;
    state.avoidUntilNanos = nowNanos + Math.min(avoidance, MAX_AVOIDANCE.toNanos());
  }

  /**
   * Tells whether an upstream should get no requests for now.
   *
   * @param id the upstream
   * @param nowNanos monotonic time
   * @return true for some time after failures
   */
  public boolean isAvoided(InstanceId id, long nowNanos) {
    State state = states.get(id);
    return state != null && state.avoidances > 0 && nowNanos - state.avoidUntilNanos < 0;
  }

  /**
   * Records that an upstream has turned a request away and wants none from this router for a time.
   * Other than an upstream that is avoided, it gets none even if no other one is left. A rest that
   * it has asked for before goes on if it ends later.
   *
   * @param id the upstream
   * @param rest the time that it asks for
   * @param nowNanos monotonic time
   * @return the time that it gets from now on, which is bounded
   */
  public Duration recordRest(InstanceId id, Duration rest, long nowNanos) {
    Duration granted = rest.compareTo(MAX_REST) > 0 ? MAX_REST : rest;
    State state = states.computeIfAbsent(id, key -> new State());
    Duration remaining = remainingRest(id, nowNanos);
    Duration longer = granted.compareTo(remaining) > 0 ? granted : remaining;
    state.restUntilNanos = nowNanos + longer.toNanos();
    state.asksForRest = true;
    return longer;
  }

  /**
   * Returns how much longer an upstream wants no requests from this router.
   *
   * @param id the upstream
   * @param nowNanos monotonic time
   * @return the time, zero if it has not asked for any
   */
  public Duration remainingRest(InstanceId id, long nowNanos) {
    State state = states.get(id);
    return state == null || !state.asksForRest
        ? Duration.ZERO
        : Duration.ofNanos(Math.max(0, state.restUntilNanos - nowNanos));
  }

  /**
   * Returns the ratio of failed exchanges.
   *
   * @param id the upstream
   * @return 0 to 1, an exponentially weighted moving average
   */
  public double errorRate(InstanceId id) {
    State state = states.get(id);
    return state == null ? 0 : state.errorRate;
  }

  /**
   * Removes the record of an upstream that is gone or has restarted.
   *
   * @param id the upstream
   */
  public void forget(InstanceId id) {
    states.remove(id);
  }

  /** Observations of one upstream. */
  private static final class State {
    private double errorRate;
    private int brokenExchanges;
    private int avoidances;
    private long avoidUntilNanos = Long.MIN_VALUE;
    private boolean asksForRest;
    private long restUntilNanos;
  }
}
