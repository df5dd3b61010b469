package org.dandelionbeam.routing;

import java.time.Duration;

/**
 * Estimates how fast the engines of a service prefill prompts, from the times of first outputs. Not
 * thread-safe.
 */
public final class PrefillRateEstimator {
  /** Fixed delays dominate the first output time of shorter prompts. */
  private static final long MIN_SAMPLE_TOKENS = 2_000;

  private static final double SAMPLE_WEIGHT = 0.03;
  private static final double INITIAL_TOKENS_PER_MS = 28;
  private static final double MIN_TOKENS_PER_MS = 10;
  private static final double MAX_TOKENS_PER_MS = 45;

  private double tokensPerMs = INITIAL_TOKENS_PER_MS;

  private PrefillRateEstimator() {}

  /**
   * Creates an estimator that starts with a default rate.
   *
   * @return the estimator
   */
  public static PrefillRateEstimator create() {
    return new PrefillRateEstimator();
  }

  /**
   * Updates the rate from the first output of a request.
   *
   * @param tokens prompt tokens that the engine prefilled before the output, those of earlier
   *     requests included
   * @param elapsed time since the request was sent
   */
  public void recordFirstOutput(long tokens, Duration elapsed) {
    if (tokens < MIN_SAMPLE_TOKENS) {
      return;
    }
    double sample = tokens / Math.max(1.0, elapsed.toNanos() / 1e6);
    double bounded = Math.min(MAX_TOKENS_PER_MS, Math.max(MIN_TOKENS_PER_MS, sample));
    tokensPerMs += SAMPLE_WEIGHT * (bounded - tokensPerMs);
  }

  /**
   * Returns the expected prefill time of an engine.
   *
   * @param tokens prompt tokens to prefill
   * @return time in nanoseconds
   */
  public long prefillNanos(long tokens) {
    return (long) (tokens / tokensPerMs * 1e6);
  }
}
