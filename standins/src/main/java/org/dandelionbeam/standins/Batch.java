package org.dandelionbeam.standins;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Continuous batch of an engine: each step generates one token for each exchange past its prefill,
 * and the length of a step grows with the number of running exchanges.
 */
final class Batch {
  private static final double NANOS_PER_SECOND = 1e9;

  private final List<EngineExchange> running = new ArrayList<>();
  private final Deque<EngineExchange> waiting = new ArrayDeque<>();
  private final double tokensPerSecond;
  private final double slowdownPerExchange;
  private final int maxRunning;
  private long nextStepNanos;

  Batch(double tokensPerSecond, double slowdownPerExchange, int maxRunning) {
    this.tokensPerSecond = tokensPerSecond;
    this.slowdownPerExchange = slowdownPerExchange;
    this.maxRunning = maxRunning;
  }

  void add(EngineExchange exchange, long nowNanos) {
    if (running.isEmpty()) {
      nextStepNanos = nowNanos + stepNanos();
    }
    waiting.addLast(exchange);
    admitWaiting();
  }

  /** Runs the steps that are due and returns the exchanges that finished. */
  List<EngineExchange> step(long nowNanos) {
    List<EngineExchange> finished = new ArrayList<>();
    while (!running.isEmpty() && nowNanos - nextStepNanos >= 0) {
      for (EngineExchange exchange : running) {
        if (exchange.isPrefilled(nextStepNanos)) {
          exchange.generate();
        }
      }
      running.stream().filter(EngineExchange::isFinished).forEach(finished::add);
      running.removeIf(EngineExchange::isFinished);
      admitWaiting();
      nextStepNanos += stepNanos();
    }
    return finished;
  }

  Duration untilNextStep(long nowNanos) {
    return Duration.ofNanos(Math.max(0, nextStepNanos - nowNanos));
  }

  List<EngineExchange> running() {
    return running;
  }

  int runningCount() {
    return running.size();
  }

  int queuedCount() {
    return waiting.size();
  }

  boolean remove(EngineExchange exchange) {
    boolean removed = running.remove(exchange) || waiting.remove(exchange);
    admitWaiting();
    return removed;
  }

  void clear() {
    running.clear();
    waiting.clear();
  }

  private void admitWaiting() {
    while (running.size() < maxRunning && !waiting.isEmpty()) {
      running.add(waiting.removeFirst());
    }
  }

  private long stepNanos() {
    double factor = 1 + slowdownPerExchange * Math.max(0, running.size() - 1);
    return (long) (NANOS_PER_SECOND / tokensPerSecond * factor);
  }
}
