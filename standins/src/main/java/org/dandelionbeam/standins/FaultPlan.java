package org.dandelionbeam.standins;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * When a fault strikes and how long it delays.
 *
 * @param fault the fault
 * @param times how many requests it strikes at most
 * @param probability chance that it strikes a request, from 0 to 1
 * @param seed seed of the draws
 * @param delay delay of the answer, for {@link Fault#SLOW} and {@link Fault#LATE}
 */
public record FaultPlan(Fault fault, int times, double probability, long seed, Duration delay) {
  /** Number of strikes of a fault that stays until it is cleared. */
  public static final int UNLIMITED = Integer.MAX_VALUE;

  private static final Duration SLOW_DELAY = Duration.ofMillis(200);
  private static final Duration LATE_DELAY = Duration.ofSeconds(3);

  /** Checks that all parts are there. */
  public FaultPlan {
    requireNonNull(fault, "fault");
    requireNonNull(delay, "delay");
  }

  /**
   * Returns a plan that strikes the next request only.
   *
   * @param fault the fault
   * @return the plan
   */
  public static FaultPlan once(Fault fault) {
    return new FaultPlan(fault, 1, 1, 0, defaultDelay(fault));
  }

  /**
   * Returns a plan that strikes every request until it is cleared.
   *
   * @param fault the fault
   * @return the plan
   */
  public static FaultPlan always(Fault fault) {
    return new FaultPlan(fault, UNLIMITED, 1, 0, defaultDelay(fault));
  }

  /**
   * Returns a plan that strikes some requests until it is cleared.
   *
   * @param fault the fault
   * @param probability chance of each request, from 0 to 1
   * @param seed seed of the draws
   * @return the plan
   */
  public static FaultPlan sometimes(Fault fault, double probability, long seed) {
    return new FaultPlan(fault, UNLIMITED, probability, seed, defaultDelay(fault));
  }

  /**
   * Returns the same plan with another delay.
   *
   * @param newDelay the delay
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

  /** A plan in force, with its count and its draws. */
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
