package org.dandelionbeam.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the parts of the engine stand-in without a server: batch, cache, cold start, weights. */
public class EngineRulesTest {
  private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

  @DataProvider
  Object[][] answersAndWhetherTheyAreWhole() {
    List<String> tokens = AnswerText.tokens("p", 1, 40);
    String whole = String.join("", tokens);
    String second = tokens.get(1);
    return new Object[][] {
      {"p", whole, true},
      {"q", whole, false},
      {"p", whole.replaceFirst(second, ""), false},
      {"p", whole.replaceFirst(second, second + second), false},
      {"p", whole.substring(0, whole.length() - 1), false},
      {"p", "", false},
    };
  }

  @Test(dataProvider = "answersAndWhetherTheyAreWhole")
  public void onlyTheWholeAnswerToThePromptIsWhole(String prompt, String text, boolean whole) {
    assertEquals(AnswerText.isWhole(prompt, text), whole);
  }

  @Test
  public void tokenRatePerExchangeFallsAsTheBatchGrows() {
    assertEquals(stepsInOneSecond(1), 10);
    assertEquals(stepsInOneSecond(11), 5);
  }

  private static int stepsInOneSecond(int exchanges) {
    Batch batch = new Batch(10, 0.1, 64);
    for (int i = 0; i < exchanges; i++) {
      batch.add(exchange("e" + i, 40), 0);
    }
    int steps = 0;
    long step = (long) (SECOND_NANOS / 10 * (1 + 0.1 * (exchanges - 1)));
    for (long now = step; now <= SECOND_NANOS; now += step) {
      assertEquals(batch.step(now), List.of());
      steps++;
    }
    return steps;
  }

  private static EngineExchange exchange(String id, int maxTokens) {
    EnginePrompt prompt = new EnginePrompt("camp", "p", true, maxTokens);
    return new EngineExchange(id, id, prompt, AnswerText.tokens("p", 1, maxTokens), true);
  }

  @Test
  public void exchangesAboveTheBatchSizeAreQueued() {
    Batch batch = new Batch(10, 0, 1);
    batch.add(exchange("a", 2), 0);
    batch.add(exchange("b", 2), 0);
    assertEquals(batch.runningCount() + "," + batch.queuedCount(), "1,1");
    assertEquals(batch.step(SECOND_NANOS).size(), 2);
  }

  @Test
  public void prefixCacheMatchesFromTheStartAndEvictsTheLeastRecentlyUsedBlock() {
    PrefixCache cache = new PrefixCache(2, SECOND_NANOS, 1);
    String[] prompt = "w ".repeat(32).split(" ");
    assertEquals(cache.addPrompt(prompt, 0), 0);
    assertEquals(cache.addPrompt(prompt, 0), 32);
    cache.addPrompt("x ".repeat(32).split(" "), 0);
    assertEquals(cache.addPrompt(prompt, 0), 0);
    assertEquals(cache.eventsAfter(0, SECOND_NANOS - 1).path("events").size(), 0);
    assertTrue(cache.eventsAfter(0, SECOND_NANOS).path("events").size() > 0);
  }

  @Test
  public void weightStoreLoadsOneModelAfterTheOther() {
    WeightStore store = WeightStore.of(Duration.ofSeconds(2));
    assertEquals(store.fetch(0), Duration.ofSeconds(2));
    assertEquals(store.fetch(SECOND_NANOS), Duration.ofSeconds(3));
  }

  @Test
  public void coldEngineIsOverloadedAboveItsLimit() {
    ColdStart cold = new ColdStart(2, 1, true);
    assertFalse(cold.recordInFlight(2));
    assertTrue(cold.recordInFlight(3));
    cold.recordCompletion();
    assertFalse(cold.recordInFlight(100));
    assertEquals(cold.maxInFlightWhileCold(), 3);
  }
}
