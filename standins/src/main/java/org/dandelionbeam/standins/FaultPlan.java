package org.dandelionbeam.standins;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Injected fault with the requests that it affects and its delay.
 *
 * @param fault the fault
 * @param times largest number of requests that it affects
 * @param probability probability that it affects a request, from 0 to 1
 * @param seed seed of the random choice of requests
 * @param delay delay of the response, for {@link Fault#SLOW} and {@link Fault#LATE}
 */
public record FaultPlan(Fault fault, int times, double probability, long seed, Duration delay) {
  /** Number of affected requests of a fault that lasts until it is cleared. */
  public static final int UNLIMITED = Integer.MAX_VALUE;

  private static final Duration SLOW_DELAY = Duration.ofMillis(200);
  private static final Duration LATE_DELAY = Duration.ofSeconds(3);

  /** Checks that the fault and the delay are not null. */
  public FaultPlan {
    requireNonNull(fault, "fault");
    requireNonNull(delay, "delay");
  }

  /**
   * Returns a plan that affects the next request only.
   *
   * @param fault the fault
   * @return the plan
   */
  public static FaultPlan once(Fault fault) {
    return new FaultPlan(fault, 1, 1, 0, defaultDelay(fault));
  }

  /**
   * Returns a plan that affects every request until it is cleared.
   *
   * @param fault the fault
   * @return the plan
   */
  public static FaultPlan always(Fault fault) {
    return new FaultPlan(fault, UNLIMITED, 1, 0, defaultDelay(fault));
  }

  /**
   * Returns a plan that affects a random part of the requests until it is cleared.
   *
   * @param fault the fault
   * @param probability probability that a request is affected, from 0 to 1
   * @param seed seed of the random choice of requests
   * @return the plan
   */
  public static FaultPlan sometimes(Fault fault, double probability, long seed) {
    return new FaultPlan(fault, UNLIMITED, probability, seed, defaultDelay(fault));
  }

  /**
   * Returns the same plan with another delay.
   *
   * @param newDelay delay of the response
   * @return the plan
   */
  public FaultPlan withDelay(Duration newDelay) {
    return new FaultPlan(fault, times, probability, seed, newDelay);
  }

  Armed arm() {
    return new Armed();
  }

  private static Duration defaultDelay(Fault fault) {
    return fault == Fault.LATE ? LATE_DELAY : SLOW_DELAY;
  }

  /** Active plan with the number of requests it may still affect and its random generator. */
  final class Armed {
    private final SplittableRandom random = new SplittableRandom(seed);
    private int remaining = times;

    FaultPlan plan() {
      return FaultPlan.this;
    }

    boolean tryTrigger() {
      if (remaining == 0 || random.nextDouble() >= probability) {
        return false;
      }
      remaining--;
      return true;
    }
  }
}
