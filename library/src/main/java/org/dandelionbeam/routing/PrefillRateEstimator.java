package org.dandelionbeam.routing;

import java.time.Duration;

/**
 * Estimates how fast the engines of a service prefill prompts, from the times of first outputs.
 *
 * <p>A linear regression with exponentially decaying weights separates the time for each token from
 * the delay that all first outputs have. Not thread-safe.
 */
public final class PrefillRateEstimator {
  /** Weight that earlier samples keep with each new one. */
  private static final double DECAY = 0.99;

  private static final double INITIAL_MS_PER_TOKEN = 1 / 28.0;
  private static final double MIN_MS_PER_TOKEN = 1 / 400.0;
  private static final double MAX_MS_PER_TOKEN = 1 / 10.0;
  private static final double MAX_BASE_DELAY_MS = 500;

  /** Samples that the initial rate counts as. */
  private static final double INITIAL_WEIGHT = 20;

  private static final double INITIAL_SPREAD_TOKENS = 1_500;
  private static final double NANOS_PER_MS = 1e6;

  private double weight = INITIAL_WEIGHT;
  private double meanTokens = INITIAL_SPREAD_TOKENS;
  private double meanMs = INITIAL_SPREAD_TOKENS * INITIAL_MS_PER_TOKEN;
  private double variance = INITIAL_SPREAD_TOKENS * INITIAL_SPREAD_TOKENS;
  private double covariance = variance * INITIAL_MS_PER_TOKEN;

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
    double ms = elapsed.toNanos() / NANOS_PER_MS;
    weight = DECAY * weight + 1;
    double share = 1 / weight;
    double tokensAbove = tokens - meanTokens;
    double msAbove = ms - meanMs;
    meanTokens += share * tokensAbove;
    meanMs += share * msAbove;
    variance = (1 - share) * (variance + share * tokensAbove * tokensAbove);
    covariance = (1 - share) * (covariance + share * tokensAbove * msAbove);
  }

  private double msPerToken() {
    return Math.min(MAX_MS_PER_TOKEN, Math.max(MIN_MS_PER_TOKEN, covariance / variance));
  }

  /**
   * Returns the expected prefill time of an engine.
   *
   * @param tokens prompt tokens to prefill
   * @return time in nanoseconds
   */
  public long prefillNanos(long tokens) {
    return (long) (tokens * msPerToken() * NANOS_PER_MS);
  }

  /**
   * Returns the delay of first outputs beside the prefill.
   *
   * @return time in nanoseconds
   */
  public long baseDelayNanos() {
    double ms = meanMs - meanTokens * msPerToken();
    return (long) (Math.min(MAX_BASE_DELAY_MS, Math.max(0, ms)) * NANOS_PER_MS);
  }
}
