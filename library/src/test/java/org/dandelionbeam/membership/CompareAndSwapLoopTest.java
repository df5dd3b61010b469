package org.dandelionbeam.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Changes of a key that other nodes change concurrently and whose calls fail or lose their answers.
 */
public class CompareAndSwapLoopTest {
  private static final long CALL_INTERVAL_NANOS = 20_000_000_000L;

  private CompareAndSwapLoop<Set<String>> loop;
  private long now;

  @BeforeMethod
  public void create() {
    loop = new CompareAndSwapLoop<>(Set.of(), new Random(1), 0);
    now = 0;
  }

  private static UnaryOperator<Set<String>> adding(String name) {
    return set -> {
      Set<String> more = new TreeSet<>(set);
      return more.add(name) ? more : set;
    };
  }

  private Optional<CompareAndSwapLoop.Call<Set<String>>> next() {
    now += CALL_INTERVAL_NANOS;
    return loop.nextCall(now);
  }

  private CompareAndSwapLoop.Swap<Set<String>> nextSwap() {
    return (CompareAndSwapLoop.Swap<Set<String>>) next().orElseThrow();
  }

  private void read(long revision, Set<String> value) {
    assertTrue(next().orElseThrow() instanceof CompareAndSwapLoop.Read);
    loop.onRead(revision, value, now);
  }

  @Test
  public void concurrentChangesAreMerged() {
    loop.addChange(adding("a"));
    read(3, Set.of());
    assertEquals(nextSwap().expectedRevision(), 3);
    loop.onSwapped(false, 4, Set.of("b"), now);
    assertEquals(nextSwap(), new CompareAndSwapLoop.Swap<>(4, Set.of("a", "b")));
    loop.onSwapped(true, 5, Set.of("a", "b"), now);
    assertTrue(loop.isIdle());
    assertEquals(next(), Optional.empty());
  }

  @Test
  public void afterALostAnswerTheKeyIsRead() {
    loop.addChange(adding("a"));
    read(3, Set.of());
    nextSwap();
    loop.onFailed(now);
    read(4, Set.of("a"));
    assertEquals(next(), Optional.empty());
    assertTrue(loop.isIdle());
  }

  @Test
  public void anOlderReadDoesNotReplaceANewerValue() {
    loop.learn(9, Set.of("a"));
    loop.addChange(adding("b"));
    read(8, Set.of());
    assertEquals(nextSwap(), new CompareAndSwapLoop.Swap<>(9, Set.of("a", "b")));
  }

  @Test
  public void changesAddedDuringASwapAreKept() {
    loop.addChange(adding("a"));
    read(1, Set.of());
    nextSwap();
    loop.addChange(adding("b"));
    loop.onSwapped(true, 2, Set.of("a"), now);
    assertEquals(nextSwap().value(), Set.of("a", "b"));
  }

  @Test
  public void failedCallsBackOffAndOnlyOneIsInProgress() {
    loop.addChange(adding("a"));
    int calls = 0;
    for (long time = 0; time < 60_000_000_000L; time += 1_000_000) {
      if (loop.nextCall(time).isPresent()) {
        calls++;
        assertFalse(loop.nextCall(time).isPresent());
        loop.onFailed(time);
      }
    }
    assertTrue(calls < 40, "calls in a minute: " + calls);
    assertEquals(List.of(loop.isIdle()), List.of(false));
  }
}
