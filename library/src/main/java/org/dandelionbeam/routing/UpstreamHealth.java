package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** How the upstreams treated this router's requests lately. Not thread-safe. */
public final class UpstreamHealth {
  /** First time for which an upstream that can't be reached is avoided; doubles each time. */
  private static final Duration FIRST_AVOIDANCE = Duration.ofMillis(500);

  private static final Duration MAX_AVOIDANCE = Duration.ofSeconds(4);
  private static final int MAX_DOUBLINGS = 3;
  private static final double ERROR_RATE_WEIGHT = 0.15;

  /** Broken exchanges without any output between, after which an upstream is taken for down. */
  private static final int BROKEN_EXCHANGES_BEFORE_AVOIDANCE = 2;

  private final Map<InstanceId, State> states = new HashMap<>();

  private UpstreamHealth() {}

  /**
   * Returns a record without experience.
   *
   * @return the record
   */
  public static UpstreamHealth create() {
    return new UpstreamHealth();
  }

  /**
   * Notes an answer.
   *
   * @param id the upstream
   * @param good whether the upstream served the request
   */
  public void recordResponse(InstanceId id, boolean good) {
    State state = states.computeIfAbsent(id, key -> new State());
    state.errorRate += ERROR_RATE_WEIGHT * ((good ? 0 : 1) - state.errorRate);
    state.avoidUntilNanos = Long.MIN_VALUE;
    state.brokenExchanges = 0;
    state.avoidances = 0;
  }

  /**
   * Notes output of an upstream: it lives, whatever becomes of the answer.
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
   * Notes that an upstream refused a connection or is not the one that was meant.
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
   * Notes that an upstream broke an exchange off.
   *
   * <p>A single one may be the loss of one answer, and to avoid the upstream for it would move its
   * prompts to others.
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
   * Tells whether an upstream should get no request for now.
   *
   * @param id the upstream
   * @param nowNanos monotonic time
   * @return true for some time after it could not be reached
   */
  public boolean isAvoided(InstanceId id, long nowNanos) {
    State state = states.get(id);
    return state != null && state.avoidances > 0 && nowNanos - state.avoidUntilNanos < 0;
  }

  /**
   * Returns the share of bad answers.
   *
   * @param id the upstream
   * @return 0 to 1, weighted towards the latest answers
   */
  public double errorRate(InstanceId id) {
    State state = states.get(id);
    return state == null ? 0 : state.errorRate;
  }

  /**
   * Forgets an upstream that left or started again.
   *
   * @param id the upstream
   */
  public void forget(InstanceId id) {
    states.remove(id);
  }

  /** Experience with one upstream. */
  private static final class State {
    private double errorRate;
    private int brokenExchanges;
    private int avoidances;
    private long avoidUntilNanos = Long.MIN_VALUE;
  }
}
