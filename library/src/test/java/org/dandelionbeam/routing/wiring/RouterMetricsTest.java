package org.dandelionbeam.routing.wiring;

import static org.testng.Assert.assertTrue;

import java.lang.ref.WeakReference;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** The metrics page of a router. */
public class RouterMetricsTest {
  private static final int MAX_COLLECTIONS = 50;

  // Guards against gauges that read NaN after the first garbage collection.
  @Test
  public void gaugeOutlastsAGarbageCollection() {
    RouterMetrics metrics = RouterMetrics.create();
    AtomicLong value = new AtomicLong(7);
    metrics.gauge("open", () -> value.get());
    WeakReference<Object> garbage = new WeakReference<>(new Object());
    for (int i = 0; i < MAX_COLLECTIONS && garbage.get() != null; i++) {
      System.gc();
    }

    assertTrue(metrics.page().contains("dandelionbeam_open 7.0"), metrics.page());
  }
}
