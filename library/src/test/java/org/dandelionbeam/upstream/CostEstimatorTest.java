package org.dandelionbeam.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.SplittableRandom;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks how hints and observed costs determine the estimate. */
public class CostEstimatorTest {
  private static final ServiceId SERVICE = ServiceId.of(1);
  private static final Optional<ModelId> MODEL = Optional.of(ModelId.of(1));

  @DataProvider
  Object[][] hints() {
    return new Object[][] {{10.0}, {100.0}, {1_000.0}, {10_000.0}, {0.0}, {Double.NaN}};
  }

  @Test(dataProvider = "hints")
  public void aWrongHintIsIgnoredAfterAFewObservations(double hint) {
    CostEstimator estimator = CostEstimator.of(10);
    TeamId team = TeamId.of(1);
    double first = estimator.estimate(team, SERVICE, 0, MODEL, hint);
    assertEquals(first, hint > 0 ? hint : 1.0);
    for (int i = 0; i < 3; i++) {
      estimator.observed(team, SERVICE, 0, MODEL, 1_000);
    }
    assertEquals(estimator.estimate(team, SERVICE, 0, MODEL, hint), 1_000, 500);
  }

  @Test
  public void theEstimateFollowsTheUpperQuantile() {
    CostEstimator estimator = CostEstimator.of(10);
    TeamId team = TeamId.of(1);
    SplittableRandom random = new SplittableRandom(7);
    for (int i = 0; i < 5_000; i++) {
      estimator.observed(team, SERVICE, 0, MODEL, 100 + random.nextInt(900));
    }
    assertEquals(estimator.estimate(team, SERVICE, 0, MODEL, 0), 775, 200);
  }

  @Test
  public void anUnknownTeamGetsTheEstimateOfTheService() {
    CostEstimator estimator = CostEstimator.of(10);
    for (int i = 0; i < 10; i++) {
      estimator.observed(TeamId.of(1), SERVICE, 0, MODEL, 400);
    }
    assertEquals(estimator.estimate(TeamId.of(2), SERVICE, 0, MODEL, 9), 400, 1);
    assertEquals(estimator.estimate(TeamId.of(2), SERVICE, 1, MODEL, 9), 9, 0);
  }

  @Test
  public void theNumberOfKeysIsBounded() {
    CostEstimator estimator = CostEstimator.of(10);
    for (int i = 0; i < 1_000; i++) {
      estimator.observed(TeamId.of(i), SERVICE, i, MODEL, 400);
    }
    assertTrue(estimator.size() <= 20);
  }
}
