package org.dandelionbeam.routing.wiring;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Limits on logged lines. */
public class LineQuotaTest {
  private static final long SECOND = 1_000_000_000L;

  @Test
  public void linesAboveTheLimitOfASecondAreLeftOutAndCounted() {
    LineQuota quota = new LineQuota(2, 0);
    assertTrue(quota.tryTake(1));
    assertTrue(quota.tryTake(2));
    assertFalse(quota.tryTake(3));
    assertFalse(quota.tryTake(4));
    assertEquals(quota.takeLeftOut(), 0, "the second is not over");

    assertTrue(quota.tryTake(SECOND));
    assertEquals(quota.takeLeftOut(), 2);
    assertEquals(quota.takeLeftOut(), 0);
  }
}
