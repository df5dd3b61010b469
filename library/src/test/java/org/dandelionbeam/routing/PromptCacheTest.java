package org.dandelionbeam.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What a router takes engines to hold. */
public class PromptCacheTest {
  private static final int ENGINE = 1;
  private static final long SECOND = 1_000_000_000L;

  private PromptCache cache;

  @BeforeMethod
  public void makeCache() {
    cache = PromptCache.create();
    cache.engineMemory(1_000);
  }

  private static PromptShape prompt(String... ids) {
    List<PromptShape.Part> parts =
        Arrays.stream(ids).map(id -> new PromptShape.Part(PromptShape.hashOf(id), 100)).toList();
    return new PromptShape(100L * ids.length, 10, parts);
  }

  @Test
  public void aPartCountsOnlyWithAllPartsBeforeIt() {
    cache.sent(prompt("a", "b", "c"), ENGINE, 0);

    assertEquals(cache.heldTokens(prompt("a", "b", "c"), ENGINE), 300);
    assertEquals(cache.heldTokens(prompt("a", "x", "c"), ENGINE), 100);
    assertEquals(cache.heldTokens(prompt("x", "b", "c"), ENGINE), 0);
    assertEquals(cache.heldTokens(prompt("a", "b", "c"), 2), 0);
  }

  @Test
  public void leastRecentlyUsedPartsGoFirstAndLaterOnesBeforeTheirBeginning() {
    cache.sent(prompt("a", "b", "old"), ENGINE, 0);
    for (int i = 0; i < 6; i++) {
      cache.sent(prompt("a", "new" + i), ENGINE, 0);
    }

    assertEquals(cache.heldTokens(prompt("a", "b", "old"), ENGINE), 200);
    cache.sent(prompt("a", "more"), ENGINE, 0);
    assertEquals(cache.heldTokens(prompt("a", "b", "old"), ENGINE), 100);
  }

  @Test
  public void whatAnEngineListsIsOlderThanWhatWasSent() {
    cache.sent(prompt("a", "b"), ENGINE, 0);
    cache.listed(ENGINE, prompt("x", "y", "a").parts(), 0);

    assertEquals(cache.heldTokens(prompt("x", "y"), ENGINE), 200);
    for (int i = 0; i < 5; i++) {
      cache.sent(prompt("new" + i), ENGINE, 0);
    }
    assertEquals(cache.heldTokens(prompt("x", "y"), ENGINE), 0);
    assertEquals(cache.heldTokens(prompt("a", "b"), ENGINE), 200);
  }

  @Test
  public void whatWasReadIsForgotten() {
    cache.sent(prompt("a", "b"), ENGINE, 0);
    cache.sent(prompt("a", "c"), ENGINE, 0);

    assertEquals(cache.recentlyRead(ENGINE, 0), 300.0, 0.1);
    assertEquals(cache.recentlyRead(ENGINE, 4 * SECOND), 150.0, 0.1);
    assertEquals(cache.recentlyRead(2, 0), 0.0);
  }

  @Test
  public void sentPromptsAreReportedOnce() {
    cache.sent(prompt("a", "b"), ENGINE, 0);

    assertEquals(cache.takeSent(), List.of(new SentPrompt(ENGINE, prompt("a", "b").parts())));
    assertTrue(cache.takeSent().isEmpty());
  }
}
