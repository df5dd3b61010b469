package org.dandelionbeam.daemon.session;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.random.RandomGenerator;

/**
 * Seeded random source that records its draws, so that a test knows the ids generated from them.
 */
final class RecordingRandom implements RandomGenerator {
  private final SplittableRandom random;
  private final List<Long> draws = new CopyOnWriteArrayList<>();

  RecordingRandom(long seed) {
    random = new SplittableRandom(seed);
  }

  @Override
  public long nextLong() {
    long draw = random.nextLong();
    draws.add(draw);
    return draw;
  }

  List<Long> draws() {
    return draws;
  }
}
