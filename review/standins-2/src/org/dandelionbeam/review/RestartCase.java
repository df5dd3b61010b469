package org.dandelionbeam.review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Twice, a quarter of the engines crash and come back under their ids with another software
 * version, while the store is down. Streams that ran on them are resumed by the routers.
 */
public final class RestartCase {
  /** Like that of {@code rules-query}. */
  private static final CallerStream.Prompt PROMPT = new CallerStream.Prompt(341, 227, 1_800);

  private static final int ENGINES = 8;
  private static final int CRASHED_TOGETHER = 2;
  private static final int STREAMS = 96;
  private static final int MAX_MIXED = 2;
  private static final int MAX_ATTEMPTS = 3;
  private static final int RETRY_PAUSE_MS = 100;
  private static final int SETTLE_MS = 5_000;
  private static final int BEGIN_INTERVAL_MS = 25;
  private static final int BEGIN_MS = 500;

  /** Times from the moment at which the store goes down. */
  private static final int FIRST_CRASH_MS = 300;

  private static final int SECOND_CRASH_MS = 5_600;
  private static final int STORE_UP_MS = 7_700;

  private static final int ENGINE_DOWN_MS = 1_900;

  private final Recorder recorder;
  private final Fleet fleet;
  private final LlmService service;
  private final boolean storeDown;
  private final ExecutorService callers = Executors.newCachedThreadPool();

  private RestartCase(Recorder recorder, Fleet fleet, LlmService service, boolean storeDown) {
    this.recorder = recorder;
    this.fleet = fleet;
    this.service = service;
    this.storeDown = storeDown;
  }

  /**
   * Runs the case.
   *
   * @param args whether the store is down meanwhile, and the file for the record
   */
  public static void main(String[] args) {
    boolean storeDown = Boolean.parseBoolean(args[0]);
    System.exit(
        Fleet.play(
            Path.of(args[1]),
            (recorder, fleet) -> {
              try (LlmService service = new LlmService(recorder, fleet.store())) {
                return new RestartCase(recorder, fleet, service, storeDown).run();
              }
            }));
  }

  private int run() throws IOException, InterruptedException {
    service.writeConfiguration();
    service.startEngines(ENGINES, "v1");
    fleet.start();
    TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
    List<CallerStream> streams = begin();
    TimeUnit.MILLISECONDS.sleep(BEGIN_MS);
    long startNanos = System.nanoTime();
    if (storeDown) {
      fleet.store().leave();
      recorder.line("the store is down");
    }
    sleepUntil(startNanos, FIRST_CRASH_MS);
    restart(service.engines().subList(0, CRASHED_TOGETHER));
    sleepUntil(startNanos, SECOND_CRASH_MS);
    restart(service.engines().subList(CRASHED_TOGETHER, 2 * CRASHED_TOGETHER));
    sleepUntil(startNanos, STORE_UP_MS);
    if (storeDown) {
      fleet.store().comeBack();
      recorder.line("the store is up");
      service.engines().forEach(engine -> engine.register(fleet.store()));
    }
    callers.shutdown();
    if (!callers.awaitTermination(LlmService.TIME_LIMIT_MS, TimeUnit.MILLISECONDS)) {
      recorder.line("some callers still wait");
    }
    callers.shutdownNow();
    return judge(streams);
  }

  private static void sleepUntil(long startNanos, int afterMs) throws InterruptedException {
    long endNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(afterMs);
    TimeUnit.NANOSECONDS.sleep(Math.max(0, endNanos - System.nanoTime()));
  }

  /** Lets engines crash and start again; they register themselves if the store is up. */
  private void restart(List<EngineStandIn> engines) throws IOException, InterruptedException {
    for (EngineStandIn engine : engines) {
      engine.crash();
    }
    TimeUnit.MILLISECONDS.sleep(ENGINE_DOWN_MS);
    for (EngineStandIn engine : engines) {
      engine.restart("v2");
      if (!storeDown) {
        engine.register(fleet.store());
      }
    }
  }

  private List<CallerStream> begin() throws InterruptedException {
    List<CallerStream> streams = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      CallerStream stream = new CallerStream("s" + i, PROMPT, recorder);
      streams.add(stream);
      int router = i % fleet.routers().size();
      callers.execute(() -> follow(stream, fleet.router(router)));
      TimeUnit.MILLISECONDS.sleep(BEGIN_INTERVAL_MS);
    }
    return streams;
  }

  private static void follow(CallerStream stream, Router router) {
    try {
      for (int i = 0; i < MAX_ATTEMPTS && !stream.isComplete(); i++) {
        stream.attempt(router);
        stream.awaitRetry(RETRY_PAUSE_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private int judge(List<CallerStream> streams) {
    long begun = streams.stream().filter(stream -> stream.lastEvent() > 0).count();
    long complete = streams.stream().filter(CallerStream::isComplete).count();
    long mixed = streams.stream().filter(CallerStream::isMixed).count();
    recorder.line("begun %d, complete %d, mixed %d", begun, complete, mixed);
    if (begun < STREAMS) {
      return Fleet.NOT_RUN;
    }
    recorder.line(mixed > MAX_MIXED ? "the rule is broken" : "the rule held");
    return mixed > MAX_MIXED ? Fleet.BROKEN : Fleet.HELD;
  }
}
