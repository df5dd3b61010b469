package org.dandelionbeam.routing;

import static org.testng.Assert.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks the model of the parts that engines cache. */
public class PrefixCacheModelTest {
  private static final int ENGINE = 1;
  private static final long SECOND = 1_000_000_000L;

  private PrefixCacheModel cache;

  @BeforeMethod
  public void createModel() {
    cache = PrefixCacheModel.create();
    cache.engineMemoryTokens(1_000);
  }

  private static PromptProfile prompt(String... ids) {
    List<PromptProfile.Part> parts =
        Arrays.stream(ids)
            .map(id -> new PromptProfile.Part(PromptProfile.hashOf(id), 100))
            .toList();
    return new PromptProfile(100L * ids.length, 10, parts);
  }

  @Test
  public void partCountsOnlyWithAllPartsBeforeIt() {
    cache.recordSent(prompt("a", "b", "c"), ENGINE, 0);

    assertEquals(cache.cachedTokens(prompt("a", "b", "c"), ENGINE), 300);
    assertEquals(cache.cachedTokens(prompt("a", "x", "c"), ENGINE), 100);
    assertEquals(cache.cachedTokens(prompt("x", "b", "c"), ENGINE), 0);
    assertEquals(cache.cachedTokens(prompt("a", "b", "c"), 2), 0);
  }

  @Test
  public void leastRecentlyUsedPartsAreEvictedFirstAndLaterPartsBeforeEarlierOnes() {
    cache.recordSent(prompt("a", "b", "old"), ENGINE, 0);
    for (int i = 0; i < 6; i++) {
      cache.recordSent(prompt("a", "new" + i), ENGINE, 0);
    }

    assertEquals(cache.cachedTokens(prompt("a", "b", "old"), ENGINE), 200);
    cache.recordSent(prompt("a", "more"), ENGINE, 0);
    assertEquals(cache.cachedTokens(prompt("a", "b", "old"), ENGINE), 100);
  }

  @Test
  public void listedPartsAreLessRecentlyUsedThanSentOnes() {
    cache.recordSent(prompt("a", "b"), ENGINE, 0);
    cache.recordListing(ENGINE, prompt("x", "y", "a").parts(), 0);

    assertEquals(cache.cachedTokens(prompt("x", "y"), ENGINE), 200);
    for (int i = 0; i < 5; i++) {
      cache.recordSent(prompt("new" + i), ENGINE, 0);
    }
    assertEquals(cache.cachedTokens(prompt("x", "y"), ENGINE), 0);
    assertEquals(cache.cachedTokens(prompt("a", "b"), ENGINE), 200);
  }

  @Test
  public void recentPrefillTokensDecay() {
    cache.recordSent(prompt("a", "b"), ENGINE, 0);
    cache.recordSent(prompt("a", "c"), ENGINE, 0);

    assertEquals(cache.recentPrefillTokens(ENGINE, 0), 300.0, 0.1);
    assertEquals(cache.recentPrefillTokens(ENGINE, 4 * SECOND), 150.0, 0.1);
    assertEquals(cache.recentPrefillTokens(2, 0), 0.0);
  }
}
