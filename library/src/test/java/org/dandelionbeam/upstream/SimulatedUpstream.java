package org.dandelionbeam.upstream;

import static org.testng.Assert.assertTrue;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.dandelionbeam.dispatch.DispatchPort.Outcome;

/** Upstream that is stepped by hand and kept as full as its window allows. */
final class SimulatedUpstream {
  private static final long MILLISECOND = 1_000_000L;

  private final int warm;
  private final Load load;
  private final AdmissionWindow window;
  private final SplittableRandom random;
  private final PriorityQueue<Running> running =
      new PriorityQueue<>(Comparator.comparingLong(Running::endNanos));
  private long now;
  private double slowdown = 1;
  private long bootId = 1;
  private double largestStepShare;

  private record Running(long startNanos, long firstByteNanos, long endNanos, double cost) {}

  /** Shapes of the work that an upstream gets. */
  enum Load {
    /** Streams of 50 to 450 tokens. */
    TOKENS {
      @Override
      Running request(SplittableRandom random, double slowdown, long now) {
        double cost = 50 + random.nextInt(400);
        long firstByte = (long) (slowdown * (40 + random.nextInt(30)) * MILLISECOND);
        long perUnit = (long) (slowdown * (8 + random.nextInt(5)) * MILLISECOND);
        return new Running(now, now + firstByte, now + firstByte + (long) (cost * perUnit), cost);
      }
    },
    /** Prompts of which four in ten are 40 times as long as the others. */
    MIXED_PROMPTS {
      @Override
      Running request(SplittableRandom random, double slowdown, long now) {
        double prompt = random.nextInt(10) < 4 ? 8_000 : 200;
        double generated = 20 + random.nextInt(400);
        long firstByte = (long) (slowdown * prompt * MILLISECOND / 4);
        long end = (long) (firstByte + slowdown * generated * 10 * MILLISECOND);
        return new Running(now, now + firstByte, now + end, prompt + generated);
      }
    },
    /** Short checks and bookings ten times as long, at a cost in milliseconds. */
    CHECKS_AND_BOOKINGS {
      @Override
      Running request(SplittableRandom random, double slowdown, long now) {
        int milliseconds = (random.nextInt(10) < 4 ? 50 : 5) + random.nextInt(5);
        long elapsed = (long) (slowdown * milliseconds * MILLISECOND);
        return new Running(now, now + elapsed, now + elapsed, (double) elapsed / MILLISECOND);
      }
    };

    abstract Running request(SplittableRandom random, double slowdown, long now);
  }

  private SimulatedUpstream(int warm, int cold, Load load, int seed) {
    this.load = load;
    this.warm = warm;
    window = AdmissionWindow.of(warm, cold, Optional.empty());
    random = new SplittableRandom(seed);
  }

  /** Returns an upstream that reports nothing. */
  static SimulatedUpstream withoutReports(int warm, int cold, Load load, int seed) {
    return new SimulatedUpstream(warm, cold, load, seed);
  }

  static SimulatedUpstream of(int warm, int cold, Load load, int seed) {
    SimulatedUpstream upstream = withoutReports(warm, cold, load, seed);
    upstream.report(false, upstream.bootId);
    return upstream;
  }

  static SimulatedUpstream warmedUp(int warm, int cold, int seed) {
    SimulatedUpstream upstream = of(warm, cold, Load.TOKENS, seed);
    upstream.runUntilFull(600);
    upstream.run(4 * warm);
    upstream.fill();
    return upstream;
  }

  AdmissionWindow window() {
    return window;
  }

  long now() {
    return now;
  }

  double largestStepShare() {
    return largestStepShare;
  }

  void slowdown(double factor) {
    slowdown = factor;
  }

  void report(boolean cold, long boot) {
    bootId = boot;
    window.reported(new LoadReport(window.inFlight(), 0, cold, boot), now);
  }

  void run(int completions) {
    for (int i = 0; i < completions; i++) {
      fill();
      endOne(Outcome.ANSWERED);
    }
  }

  /** Returns the completions that it took to open the whole window, at most the patience. */
  int runUntilFull(int maxCompletions) {
    for (int i = 0; i < maxCompletions; i++) {
      if (!window.isCold() && window.limit() == warm) {
        return i;
      }
      run(1);
    }
    return maxCompletions;
  }

  /** Starts requests up to the limit; a cold upstream must never be filled above it. */
  void fill() {
    while (window.inFlight() < window.limit()) {
      startOne();
    }
  }

  void startOne() {
    boolean admitted = window.inFlight() < window.limit();
    running.add(load.request(random, slowdown, now));
    window.started(now);
    assertTrue(admitted, "started within the limit");
  }

  void endOne(Outcome outcome) {
    Running next = running.poll();
    if (next == null) {
      return;
    }
    now = Math.max(now, next.endNanos());
    int before = window.limit();
    long elapsed = next.endNanos() - next.startNanos();
    long firstByte = next.firstByteNanos() - next.startNanos();
    window.ended(outcome, next.cost(), firstByte, elapsed, now);
    int step = window.limit() - before;
    if (step > 1) {
      largestStepShare = Math.max(largestStepShare, (double) step / before);
    }
  }

  /** Replaces the running requests by slow ones and ends some of those. */
  void replaceAndEndSlowRequests(int count) {
    int replaced = running.size();
    running.clear();
    for (int i = 0; i < replaced; i++) {
      window.ended(Outcome.ABANDONED, 0, 1, 1, now);
    }
    fill();
    for (int i = 0; i < count; i++) {
      endOne(Outcome.ANSWERED);
    }
  }

  void stayIdle(long seconds) {
    window.ended(Outcome.ABANDONED, 0, 1, 1, now);
    running.poll();
    now += seconds * 1_000 * MILLISECOND;
  }

  void randomStep() {
    now += random.nextInt(100) * MILLISECOND;
    switch (random.nextInt(10)) {
      case 0 -> endOne(Outcome.values()[random.nextInt(Outcome.values().length)]);
      case 1 -> slowdown = 1 + random.nextInt(6);
      case 2 -> report(random.nextInt(8) == 0, random.nextInt(8) == 0 ? bootId + 1 : bootId);
      case 3 -> endOne(Outcome.OVERLOADED);
      default -> run(1);
    }
  }
}
