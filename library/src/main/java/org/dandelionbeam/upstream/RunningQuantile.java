package org.dandelionbeam.upstream;

/**
 * Estimates an upper quantile of a stream of positive samples in constant space.
 *
 * <p>Each sample moves the estimate towards itself by a factor, but never past itself. The steps
 * shrink to a minimum, so that the estimate converges fast and then follows slow changes.
 */
final class RunningQuantile {
  private static final double QUANTILE = 0.75;
  private static final double MIN_STEP = 0.1;
  private static final double MAX_STEP = 0.7;

  private double value;
  private int observations;

  double value() {
    return value;
  }

  int observations() {
    return observations;
  }

  void observe(double sample) {
    observations = observations == Integer.MAX_VALUE ? observations : observations + 1;
    if (observations == 1) {
      value = sample;
      return;
    }
    double step = Math.max(MIN_STEP, Math.min(MAX_STEP, 2.0 / observations));
    if (sample > value) {
      value = Math.min(sample, value * Math.exp(step * QUANTILE));
    } else {
      value = Math.max(sample, value * Math.exp(step * (QUANTILE - 1)));
    }
  }
}
