package org.dandelionbeam.upstream;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.upstream.CacheEvent.Change;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks how cache events correct the index of prefix holders. */
public class PrefixAffinityTest {
  private static final UpstreamId ONE = UpstreamId.of(1);
  private static final UpstreamId TWO = UpstreamId.of(2);
  private static final long PREFIX = 77;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  @DataProvider
  Object[][] corrections() {
    return new Object[][] {
      {"an eviction in time", 10, new CacheEvent(ONE, 2, Change.EVICTED, PREFIX), List.of()},
      {"an eviction before the use", 1, new CacheEvent(ONE, 2, Change.EVICTED, PREFIX), held(ONE)},
      {"a repeated event", 10, new CacheEvent(ONE, 1, Change.EVICTED, PREFIX), held(ONE)},
      {"a dropped cache", 10, new CacheEvent(ONE, 2, Change.CLEARED, 0), List.of()},
      {"a new holder", 10, new CacheEvent(TWO, 1, Change.STORED, PREFIX), held(TWO, ONE)},
    };
  }

  @Test(dataProvider = "corrections")
  public void eventsCorrectWhatThisNodeSent(
      String name, int delaySeconds, CacheEvent event, List<UpstreamId> expected) {
    PrefixAffinity affinity = PrefixAffinity.of(10);
    affinity.apply(new CacheEvent(ONE, 1, Change.STORED, 1), 0);
    affinity.recordUse(PREFIX, ONE, 0);
    affinity.apply(event, delaySeconds * NANOS_PER_SECOND);
    assertEquals(affinity.holders(PREFIX, delaySeconds * NANOS_PER_SECOND), expected, name);
  }

  @Test
  public void afterAnEventGapTheOlderEntriesOfAnEngineRankLast() {
    PrefixAffinity affinity = PrefixAffinity.of(10);
    affinity.apply(new CacheEvent(ONE, 1, Change.STORED, 1), 0);
    affinity.recordUse(PREFIX, TWO, 0);
    affinity.recordUse(PREFIX, ONE, NANOS_PER_SECOND);
    assertEquals(affinity.holders(PREFIX, 2 * NANOS_PER_SECOND), held(ONE, TWO));
    affinity.apply(new CacheEvent(ONE, 5, Change.STORED, 2), 2 * NANOS_PER_SECOND);
    assertEquals(affinity.holders(PREFIX, 3 * NANOS_PER_SECOND), held(TWO, ONE));
  }

  @Test
  public void aRestartedEngineHoldsNothing() {
    PrefixAffinity affinity = PrefixAffinity.of(10);
    affinity.recordUse(PREFIX, ONE, 0);
    affinity.removeEngine(ONE, NANOS_PER_SECOND);
    assertEquals(affinity.holders(PREFIX, NANOS_PER_SECOND), List.of());
    affinity.recordUse(PREFIX, ONE, 2 * NANOS_PER_SECOND);
    assertEquals(affinity.holders(PREFIX, 2 * NANOS_PER_SECOND), held(ONE));
  }

  @Test
  public void theNumbersOfPrefixesAndHoldersAreBounded() {
    PrefixAffinity affinity = PrefixAffinity.of(10);
    for (int i = 1; i < 100; i++) {
      affinity.recordUse(i, UpstreamId.of(i), i);
      affinity.recordUse(99, UpstreamId.of(i), i);
    }
    assertEquals(affinity.size(), 10);
    assertEquals(affinity.holders(99, 100).size(), 4);
  }

  private static List<UpstreamId> held(UpstreamId... upstreams) {
    return List.of(upstreams);
  }
}
