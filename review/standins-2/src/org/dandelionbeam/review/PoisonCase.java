package org.dandelionbeam.review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * A router is killed and starts again. Soon after, requests come with a part that crashes each
 * engine that begins to write an answer on it.
 */
public final class PoisonCase {
  /** The router that schedules the service: the one of this name, by the hash of the names. */
  private static final int KILLED_ROUTER = 1;

  private static final int ENGINES = 6;
  private static final int SOUND_INTERVAL_MS = 50;
  private static final int HARMFUL_INTERVAL_MS = 1_000;
  private static final int HARMFUL_DELAY_MS = 1_000;
  private static final int SETTLE_MS = 5_000;
  private static final int REFERENCE_MS = 5_000;
  private static final int MEASURED_MS = 8_000;
  private static final int STABLE_MS = 3_000;
  private static final int CRASHES = 5;
  private static final int MAX_CRASH_WAIT_MS = 20_000;
  private static final int MIN_REQUESTS = 20;

  private final Recorder recorder;
  private final Fleet fleet;
  private final PromptService service;
  private final boolean kill;

  private PoisonCase(Recorder recorder, Fleet fleet, PromptService service, boolean kill) {
    this.recorder = recorder;
    this.fleet = fleet;
    this.service = service;
    this.kill = kill;
  }

  /**
   * Runs the case.
   *
   * @param args whether the router is killed, and the file for the record
   */
  public static void main(String[] args) {
    boolean kill = Boolean.parseBoolean(args[0]);
    System.exit(
        Fleet.play(
            Path.of(args[1]),
            (recorder, fleet) -> {
              try (PromptService service = new PromptService(recorder, fleet)) {
                return new PoisonCase(recorder, fleet, service, kill).run();
              }
            }));
  }

  private int run() throws IOException, InterruptedException {
    service.start(ENGINES);
    fleet.start();
    TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
    service.sendSound(SOUND_INTERVAL_MS);
    PromptService.Share before = service.measure(REFERENCE_MS);
    if (kill) {
      restart(fleet.router(KILLED_ROUTER));
    }
    TimeUnit.MILLISECONDS.sleep(HARMFUL_DELAY_MS);
    service.sendHarmful(HARMFUL_INTERVAL_MS);
    awaitCrashes();
    TimeUnit.MILLISECONDS.sleep(2 * STABLE_MS);
    return judge(before, service.measure(MEASURED_MS));
  }

  private void restart(Router router) throws IOException, InterruptedException {
    router.kill();
    recorder.line("router %s killed", router.name());
    router.start();
    router.awaitReady();
    recorder.line("router %s ready again", router.name());
  }

  private void awaitCrashes() throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_CRASH_WAIT_MS);
    while (service.crashCount() < CRASHES && System.nanoTime() - endNanos < 0) {
      TimeUnit.MILLISECONDS.sleep(SOUND_INTERVAL_MS);
    }
  }

  private int judge(PromptService.Share before, PromptService.Share after) {
    recorder.line(
        "crashes %d; before: %d of %d begun, after: %d of %d",
        service.crashCount(), before.begun(), before.sent(), after.begun(), after.sent());
    if (before.sent() < MIN_REQUESTS || after.sent() < MIN_REQUESTS) {
      return Fleet.NOT_RUN;
    }
    boolean broken = 2 * after.value() < before.value();
    recorder.line(broken ? "the rule is broken" : "the rule held");
    return broken ? Fleet.BROKEN : Fleet.HELD;
  }
}
