package org.dandelionbeam.review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** All routers are killed at the same moment. Soon after their return some engines crash. */
public final class RecoverCase {
  private static final int ENGINES = 12;
  private static final int CRASHED = 3;
  private static final int ENGINE_DOWN_MS = 1_900;
  private static final int SOUND_INTERVAL_MS = 25;
  private static final int CRASH_DELAY_MS = 1_000;
  private static final int SETTLE_MS = 5_000;
  private static final int REFERENCE_MS = 5_000;
  private static final int RECOVER_MS = 12_000;
  private static final int MEASURED_MS = 8_000;
  private static final double MIN_SHARE = 0.25;

  private final Recorder recorder;
  private final Fleet fleet;
  private final PromptService service;
  private final boolean kill;

  private RecoverCase(Recorder recorder, Fleet fleet, PromptService service, boolean kill) {
    this.recorder = recorder;
    this.fleet = fleet;
    this.service = service;
    this.kill = kill;
  }

  /**
   * Runs the case.
   *
   * @param args whether the routers are killed, and the file for the record
   */
  public static void main(String[] args) {
    boolean kill = Boolean.parseBoolean(args[0]);
    System.exit(
        Fleet.play(
            Path.of(args[1]),
            (recorder, fleet) -> {
              try (PromptService service = new PromptService(recorder, fleet)) {
                return new RecoverCase(recorder, fleet, service, kill).run();
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
      killAll();
    }
    recorder.line("the machines are back");
    TimeUnit.MILLISECONDS.sleep(CRASH_DELAY_MS);
    service.crashEngines(CRASHED, ENGINE_DOWN_MS);
    TimeUnit.MILLISECONDS.sleep(RECOVER_MS - CRASH_DELAY_MS);
    return judge(before, service.measure(MEASURED_MS));
  }

  private void killAll() throws IOException, InterruptedException {
    for (Router router : fleet.routers()) {
      router.kill();
    }
    recorder.line("all routers killed");
    fleet.start();
  }

  private int judge(PromptService.Share before, PromptService.Share after) {
    recorder.line(
        "before: %d of %d begun, after: %d of %d",
        before.begun(), before.sent(), after.begun(), after.sent());
    if (before.value() < MIN_SHARE || after.sent() == 0) {
      return Fleet.NOT_RUN;
    }
    boolean broken = after.value() < MIN_SHARE;
    recorder.line(broken ? "the rule is broken" : "the rule held");
    return broken ? Fleet.BROKEN : Fleet.HELD;
  }
}
