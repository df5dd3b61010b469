package org.dandelionbeam.routing;

import java.time.Duration;

/** Learns how fast the engines of a service read prompts, from first outputs. Not thread-safe. */
public final class PrefillRateEstimator {
  /** Shorter prompts say more about fixed delays than about the rate. */
  private static final long MIN_SAMPLE_TOKENS = 2_000;

  private static final double SAMPLE_WEIGHT = 0.03;
  private static final double INITIAL_TOKENS_PER_MS = 28;
  private static final double MIN_TOKENS_PER_MS = 10;
  private static final double MAX_TOKENS_PER_MS = 45;

  private double tokensPerMs = INITIAL_TOKENS_PER_MS;

  private PrefillRateEstimator() {}

  /**
   * Returns the rate that holds before any output was seen.
   *
   * @return the rate
   */
  public static PrefillRateEstimator create() {
    return new PrefillRateEstimator();
  }

  /**
   * Takes a first output.
   *
   * @param tokens tokens that the engine had to read before it
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
   * Predicts how long an engine reads.
   *
   * @param tokens tokens to read
   * @return the time
   */
  public long prefillNanos(long tokens) {
    return (long) (tokens / tokensPerMs * 1e6);
  }
}
