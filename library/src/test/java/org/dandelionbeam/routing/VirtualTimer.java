package org.dandelionbeam.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Runs tasks at virtual times, those of the same time in the order in which they were added. */
final class VirtualTimer {
  private final TreeMap<Long, List<Runnable>> tasksByMs = new TreeMap<>();

  void schedule(long atMs, Runnable task) {
    tasksByMs.computeIfAbsent(atMs, key -> new ArrayList<>()).add(task);
  }

  /** Runs the tasks that are due, with those that they add for the same time. */
  void run(long nowMs) {
    while (!tasksByMs.isEmpty() && tasksByMs.firstKey() <= nowMs) {
      tasksByMs.pollFirstEntry().getValue().forEach(Runnable::run);
    }
  }
}
