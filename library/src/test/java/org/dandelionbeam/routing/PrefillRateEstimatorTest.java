package org.dandelionbeam.routing;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Estimates of the prefill rate of engines that have a fixed delay beside the prefill. */
public class PrefillRateEstimatorTest {
  @DataProvider
  public Object[][] engines() {
    return new Object[][] {{41.4, 2.0}, {92.1, 60.0}, {20.0, 30.0}};
  }

  @Test(dataProvider = "engines")
  public void rateAndFixedDelayAreSeparated(double tokensPerMs, double delayMs) {
    PrefillRateEstimator estimator = PrefillRateEstimator.create();
    Random random = new Random(1);
    for (int i = 0; i < 1_000; i++) {
      long tokens = random.nextInt(8_000);
      double noise = 0.9 + 0.2 * random.nextDouble();
      double ms = delayMs + noise * tokens / tokensPerMs;
      estimator.recordFirstOutput(tokens, Duration.ofNanos((long) (ms * 1e6)));
    }

    assertEquals(estimator.prefillNanos(1_000) / 1e6, 1_000 / tokensPerMs, 100 / tokensPerMs);
    assertEquals(estimator.baseDelayNanos() / 1e6, delayMs, 12);
  }

  @Test
  public void equalPromptsDoNotMakeTheRateExtreme() {
    PrefillRateEstimator estimator = PrefillRateEstimator.create();
    for (int i = 0; i < 5_000; i++) {
      estimator.recordFirstOutput(1_000, Duration.ofMillis(50));
    }

    double msForThousand = estimator.prefillNanos(1_000) / 1e6;
    assertEquals(msForThousand, 51, 49);
  }
}
