package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Runs tasks in fixed intervals from one timer, so that an idle router wakes up seldom. Confined to
 * one event loop.
 */
final class PeriodicTasks {
  /** Interval of the timer; those of the tasks are multiples of it. */
  static final Duration TICK = Duration.ofMillis(100);

  private final Consumer<RuntimeException> onFailure;
  private final List<Task> tasks = new ArrayList<>();

  /** Creates tasks, whose exceptions are passed on and don't keep the others from running. */
  PeriodicTasks(Consumer<RuntimeException> onFailure) {
    this.onFailure = requireNonNull(onFailure, "onFailure");
  }

  /** Adds a task, which runs in the next tick for the first time. */
  void add(Duration interval, Runnable action) {
    long ticks = interval.toNanos() / TICK.toNanos();
    if (ticks < 1) {
      throw new IllegalArgumentException("interval is shorter than a tick: " + interval);
    }
    tasks.add(new Task(ticks, requireNonNull(action, "action")));
  }

  /** Runs the tasks that are due; to be called in each tick. */
  void tick() {
    for (Task task : List.copyOf(tasks)) {
      try {
        task.tick();
      } catch (RuntimeException e) {
        onFailure.accept(e);
      }
    }
  }

  /** A task that runs in each of so many ticks. */
  private static final class Task {
    private final long interval;
    private final Runnable action;
    private long ticks;

    Task(long interval, Runnable action) {
      this.interval = interval;
      this.action = action;
    }

    void tick() {
      boolean due = ticks % interval == 0;
      ticks++;
      if (due) {
        action.run();
      }
    }
  }
}
