package org.dandelionbeam.routing.wiring;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tasks that share a timer. */
public class PeriodicTasksTest {
  @Test
  public void tasksRunInTheirIntervals() {
    List<String> runs = new ArrayList<>();
    PeriodicTasks tasks = new PeriodicTasks(e -> runs.add("failed"));
    tasks.add(Duration.ofMillis(100), () -> runs.add("each"));
    tasks.add(Duration.ofMillis(300), () -> runs.add("third"));
    for (int i = 0; i < 4; i++) {
      tasks.tick();
    }

    assertEquals(runs, List.of("each", "third", "each", "each", "each", "third"));
  }

  // Guards against a router whose periodic work ends for good with one exception.
  @Test
  public void taskThatFailsKeepsNoOtherFromRunning() {
    List<String> runs = new ArrayList<>();
    PeriodicTasks tasks = new PeriodicTasks(e -> runs.add(e.getMessage()));
    tasks.add(
        Duration.ofMillis(100),
        () -> {
          throw new IllegalStateException("broken");
        });
    tasks.add(Duration.ofMillis(100), () -> runs.add("other"));
    tasks.tick();
    tasks.tick();

    assertEquals(runs, List.of("broken", "other", "broken", "other"));
  }

  @Test
  public void intervalsShorterThanATickAreRejected() {
    PeriodicTasks tasks = new PeriodicTasks(e -> {});

    assertThrows(IllegalArgumentException.class, () -> tasks.add(Duration.ofMillis(20), () -> {}));
  }
}
