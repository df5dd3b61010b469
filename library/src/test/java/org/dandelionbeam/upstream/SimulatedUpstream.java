package org.dandelionbeam.upstream;

import static org.testng.Assert.assertTrue;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.dandelionbeam.dispatch.DispatchPort.Outcome;

/** Upstream in simulated time that gets as many requests as its window allows. */
final class SimulatedUpstream {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final int warmLimit;
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

  /** Mixture of requests that an upstream gets. */
  enum Load {
    /** Streams of 50 to 450 tokens. */
    TOKENS {
      @Override
      Running request(SplittableRandom random, double slowdown, long now) {
        double cost = 50 + random.nextInt(400);
        long firstByte = (long) (slowdown * (40 + random.nextInt(30)) * NANOS_PER_MILLI);
        long perUnit = (long) (slowdown * (8 + random.nextInt(5)) * NANOS_PER_MILLI);
        return new Running(now, now + firstByte, now + firstByte + (long) (cost * perUnit), cost);
      }
    },
    /**
     * Model requests of which 40 % have a prompt that is 40 times as long as that of the others.
     */
    MIXED_PROMPTS {
      @Override
      Running request(SplittableRandom random, double slowdown, long now) {
        double prompt = random.nextInt(10) < 4 ? 8_000 : 200;
        double generated = 20 + random.nextInt(400);
        long firstByte = (long) (slowdown * prompt * NANOS_PER_MILLI / 4);
        long end = (long) (firstByte + slowdown * generated * 10 * NANOS_PER_MILLI);
        return new Running(now, now + firstByte, now + end, prompt + generated);
      }
    },
    /** Checks of 5 to 9 ms and bookings of 50 to 54 ms; the cost is the latency in milliseconds. */
    CHECKS_AND_BOOKINGS {
      @Override
      Running request(SplittableRandom random, double slowdown, long now) {
        int milliseconds = (random.nextInt(10) < 4 ? 50 : 5) + random.nextInt(5);
        long elapsed = (long) (slowdown * milliseconds * NANOS_PER_MILLI);
        return new Running(now, now + elapsed, now + elapsed, (double) elapsed / NANOS_PER_MILLI);
      }
    };

    abstract Running request(SplittableRandom random, double slowdown, long now);
  }

  private SimulatedUpstream(int warm, int cold, Load load, int seed) {
    this.load = load;
    this.warmLimit = warm;
    window = AdmissionWindow.of(warm, cold, Optional.empty());
    random = new SplittableRandom(seed);
  }

  /** Returns an upstream that sends no load reports. */
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

  void setSlowdown(double factor) {
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

  /** Runs until the window is fully open; returns the completions used, or the maximum. */
  int runUntilFull(int maxCompletions) {
    for (int i = 0; i < maxCompletions; i++) {
      if (!window.isCold() && window.limit() == warmLimit) {
        return i;
      }
      run(1);
    }
    return maxCompletions;
  }

  /** Starts requests until the limit is reached. */
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

  /** Replaces the running requests with new ones, which are slow, and ends some of these. */
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
    now += seconds * 1_000 * NANOS_PER_MILLI;
  }

  void randomStep() {
    now += random.nextInt(100) * NANOS_PER_MILLI;
    switch (random.nextInt(10)) {
      case 0 -> endOne(Outcome.values()[random.nextInt(Outcome.values().length)]);
      case 1 -> slowdown = 1 + random.nextInt(6);
      case 2 -> report(random.nextInt(8) == 0, random.nextInt(8) == 0 ? bootId + 1 : bootId);
      case 3 -> endOne(Outcome.OVERLOADED);
      default -> run(1);
    }
  }
}
