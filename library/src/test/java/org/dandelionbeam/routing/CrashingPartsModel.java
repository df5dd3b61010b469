package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Virtual run of engines, some of which crash under parts of prompts and others for other causes,
 * with schedulers that see the crashes of their engines and exchange counts.
 */
final class CrashingPartsModel {
  private static final long MS = 1_000_000L;

  /** Spreads small seeds, whose first draws would be nearly equal. */
  private static final long SEED_MULTIPLIER = 0x9E3779B97F4A7C15L;

  private static final int RUN_MS = 25_000;
  private static final int FIRST_CRASHING_MS = 5_000;
  private static final int REPORT_MS = 100;
  private static final int REPORT_DELAY_MS = 300;
  private static final int ENGINES_PER_SCHEDULER = 10;
  private static final int FIRST_PARTS = 8;

  private final Random random;
  private final List<Engine> engines = new ArrayList<>();
  private final List<CrashBlame> schedulers = new ArrayList<>();
  private final Map<Integer, Map<Suspect, Duration>> blamedAtMs = new HashMap<>();
  private final Map<Integer, Map<Suspect, CrashCounts>> totalAtMs = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> Integer.compare(a.atMs, b.atMs));
  private final List<CrashingPart> crashingParts = new ArrayList<>();
  private final Set<Suspect> entryBlamed = new HashSet<>();
  private final Settings settings;
  private int nowMs;
  private int soundRefused;
  private int soundSent;
  private int otherCrashes;

  /**
   * Parameters of a run.
   *
   * @param seed seed of the run
   * @param parts number of crashing parts
   * @param engines number of engines
   * @param otherCrashesPerSecond crashes of other causes
   * @param lossAtMs time at which a third of the engines is lost at once, 0 for never
   * @param noticeMs longest time until a crash is noticed
   * @param startMs longest time until a crashed engine is back
   * @param hotSession whether a third of all requests has the same session
   * @param first whether crashing parts come first in the prompt
   */
  record Settings(
      long seed,
      int parts,
      int engines,
      double otherCrashesPerSecond,
      int lossAtMs,
      int noticeMs,
      int startMs,
      boolean hotSession,
      boolean first) {

    /** Draws the parameters of a run from its seed. */
    static Settings of(long seed) {
      Random random = new Random(seed * SEED_MULTIPLIER);
      return new Settings(
          seed,
          1 + random.nextInt(8),
          seed % 50 == 0 ? 920 : new int[] {8, 20, 63, 200}[random.nextInt(4)],
          new double[] {0, 0.05, 0.3, 1}[random.nextInt(4)],
          random.nextInt(3) == 0 ? 8_000 + random.nextInt(12_000) : 0,
          new int[] {20, 500, 2_000}[random.nextInt(3)],
          1_000 + random.nextInt(7_000),
          random.nextBoolean(),
          random.nextBoolean());
    }
  }

  /** A part with the crashes under it. */
  private static final class CrashingPart {
    private final long hash;
    private final List<Integer> crashesMs = new ArrayList<>();
    private final List<Integer> sentMs = new ArrayList<>();

    CrashingPart(long hash) {
      this.hash = hash;
    }
  }

  private static final class Engine {
    private int scheduler;
    private int upFromMs;
    private final List<Running> running = new ArrayList<>();
  }

  private record Running(RequestContent content, int beginsMs, int endsMs, Engine engine) {}

  private record Event(int atMs, Runnable action) {}

  /**
   * Result of a run.
   *
   * @param lateAfterOneSecond most requests with one crashing part that were sent later than a
   *     second after the fifth crash under it
   * @param lateAfterThreeSeconds the same later than three seconds after it
   * @param crashes most crashes under one part
   * @param soundRefused sound requests that were refused
   * @param soundSent sound requests that were not
   * @param otherCrashes crashes of other causes
   */
  record Result(
      int lateAfterOneSecond,
      int lateAfterThreeSeconds,
      int crashes,
      int soundRefused,
      int soundSent,
      int otherCrashes) {}

  private CrashingPartsModel(Settings settings) {
    this.settings = settings;
    random = new Random(settings.seed());
    int count = (settings.engines() + ENGINES_PER_SCHEDULER - 1) / ENGINES_PER_SCHEDULER;
    IntStream.range(0, count).forEach(i -> schedulers.add(CrashBlame.create()));
    for (int i = 0; i < settings.engines(); i++) {
      Engine engine = new Engine();
      engine.scheduler = i % count;
      engines.add(engine);
    }
    for (int i = 0; i < settings.parts(); i++) {
      crashingParts.add(new CrashingPart(PromptProfile.hashOf("crashing" + i)));
    }
  }

  /** Plays a run. */
  static Result play(Settings settings) {
    CrashingPartsModel model = new CrashingPartsModel(settings);
    model.play();
    return model.result();
  }

  private void play() {
    double soundPerMs = Math.min(0.6, 0.02 * settings.engines());
    for (nowMs = 1; nowMs < RUN_MS; nowMs++) {
      while (!events.isEmpty() && events.peek().atMs <= nowMs) {
        events.poll().action.run();
      }
      if (nowMs % REPORT_MS == 0) {
        exchangeReports();
      }
      if (random.nextDouble() < soundPerMs) {
        send(soundSession(), -1);
      }
      boolean crashing = nowMs >= FIRST_CRASHING_MS && random.nextDouble() < 0.004;
      if (crashing) {
        send(soundSession(), random.nextInt(settings.parts()));
      }
      if (random.nextDouble() < settings.otherCrashesPerSecond() / 1_000) {
        crash(engines.get(random.nextInt(engines.size())), -1);
        otherCrashes++;
      }
      if (nowMs == settings.lossAtMs()) {
        engines.subList(0, engines.size() / 3).forEach(engine -> crash(engine, -1));
        otherCrashes += engines.size() / 3;
      }
    }
  }

  private int soundSession() {
    return settings.hotSession() && random.nextInt(3) == 0
        ? 0
        : random.nextInt(6 * settings.engines());
  }

  private void send(int session, int crashingPart) {
    long first = PromptProfile.hashOf("first" + random.nextInt(FIRST_PARTS));
    long middle = PromptProfile.hashOf("session" + session);
    if (crashingPart >= 0) {
      long hash = crashingParts.get(crashingPart).hash;
      first = settings.first() ? hash : first;
      middle = settings.first() ? middle : hash;
    }
    RequestContent content = content(first, middle, random.nextLong());
    if (content.suspects().stream().anyMatch(entryBlamed::contains)) {
      soundRefused += crashingPart < 0 ? 1 : 0;
      return;
    }
    int preferred = Math.floorMod(Long.hashCode(middle), engines.size());
    boolean spreads = session == 0 || random.nextInt(5) == 0;
    Engine engine = engines.get(spreads ? random.nextInt(engines.size()) : preferred);
    if (engine.upFromMs > nowMs
        || schedulers.get(engine.scheduler).blameOf(content, now()).isPresent()) {
      return;
    }
    soundSent += crashingPart < 0 ? 1 : 0;
    if (crashingPart >= 0) {
      crashingParts.get(crashingPart).sentMs.add(nowMs);
    }
    int beginsMs = nowMs + 30 + random.nextInt(250);
    Running running = new Running(content, beginsMs, beginsMs + 50 + random.nextInt(2_000), engine);
    engine.running.add(running);
    if (crashingPart >= 0) {
      at(beginsMs, () -> crashUnder(running, crashingPart));
    } else {
      at(running.endsMs, () -> end(running));
    }
  }

  /** Returns a request that no other one is equal to. */
  private static RequestContent content(long first, long middle, long own) {
    PromptProfile prompt =
        new PromptProfile(
            3_000,
            20,
            List.of(
                new PromptProfile.Part(first, 1_000),
                new PromptProfile.Part(middle, 1_000),
                new PromptProfile.Part(own, 1_000)));
    return new RequestContent(Optional.of(new RequestDigest(own)), prompt);
  }

  private long now() {
    return nowMs * MS;
  }

  private void at(int ms, Runnable action) {
    events.add(new Event(ms, action));
  }

  private void end(Running running) {
    if (running.engine.running.remove(running)) {
      schedulers.get(running.engine.scheduler).recordServed(running.content, now());
    }
  }

  private void crashUnder(Running running, int part) {
    if (running.engine.running.contains(running)) {
      crash(running.engine, part);
    }
  }

  private void crash(Engine engine, int part) {
    if (engine.upFromMs > nowMs) {
      return;
    }
    if (part >= 0) {
      crashingParts.get(part).crashesMs.add(nowMs);
    }
    List<RequestContent> suspects =
        engine.running.stream()
            .filter(running -> nowMs - running.beginsMs < 1_000)
            .map(Running::content)
            .toList();
    boolean noticed = !engine.running.isEmpty();
    engine.running.clear();
    engine.upFromMs = nowMs + 1_000 + random.nextInt(settings.startMs());
    if (noticed) {
      CrashBlame blame = schedulers.get(engine.scheduler);
      at(
          nowMs + 1 + random.nextInt(settings.noticeMs()),
          () -> {
            blame.recordCrash(suspects, now());
            blame.blameNext(now());
          });
    }
  }

  private void exchangeReports() {
    Map<Suspect, CrashCounts> sum = new HashMap<>();
    Map<Suspect, Duration> blamed = new HashMap<>();
    for (CrashBlame blame : schedulers) {
      blame
          .localCounts(now())
          .forEach((suspect, counts) -> sum.merge(suspect, counts, CrashCounts::plus));
      blamed.putAll(blame.blamed(now()));
    }
    totalAtMs.put(nowMs + REPORT_DELAY_MS, sum);
    blamedAtMs.put(nowMs + REPORT_DELAY_MS, blamed);
    Map<Suspect, CrashCounts> total = totalAtMs.remove(nowMs);
    Map<Suspect, Duration> arriving = blamedAtMs.remove(nowMs);
    if (total != null) {
      for (CrashBlame blame : schedulers) {
        blame.recordTotal(total, now());
        blame.recordBlamed(arriving, now());
        blame.blameNext(now());
      }
      entryBlamed.addAll(arriving.keySet());
    }
  }

  private Result result() {
    return new Result(
        mostSentAfterFifthCrash(1_000),
        mostSentAfterFifthCrash(3_000),
        crashingParts.stream().mapToInt(part -> part.crashesMs.size()).max().orElse(0),
        soundRefused,
        soundSent,
        otherCrashes);
  }

  private int mostSentAfterFifthCrash(int delayMs) {
    return crashingParts.stream()
        .filter(part -> part.crashesMs.size() >= 5)
        .mapToInt(
            part ->
                (int)
                    part.sentMs.stream()
                        .filter(sent -> sent > part.crashesMs.get(4) + delayMs)
                        .count())
        .max()
        .orElse(0);
  }
}
