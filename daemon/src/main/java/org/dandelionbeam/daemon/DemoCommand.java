package org.dandelionbeam.daemon;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.dandelionbeam.config.ApplyResult;
import org.dandelionbeam.daemon.fleet.LocalFleet;
import org.dandelionbeam.daemon.fleet.Site;
import org.dandelionbeam.daemon.fleet.StandIns;

/** Command that runs a small fleet with simulated upstreams in this process. */
final class DemoCommand implements Command {
  private static final Flag PORT =
      Flag.of("port", "PORT", "TCP port of the first router on 127.0.0.1; the others follow.")
          .withDefault("8080");
  private static final Flag SITE =
      Flag.of("site", "NAME", "Configuration to run: demo, majlis or carol.").withDefault("demo");
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);

  @Override
  public String name() {
    return "demo";
  }

  @Override
  public String summary() {
    return "run a small fleet on stand-ins";
  }

  @Override
  public String help() {
    return HelpPage.builder("dandelionbeam demo [FLAGS]")
        .paragraph(
            "Runs three routers in three failure domains with stand-ins for the platform, the"
                + " engines and the plain services, on loopback in this process, until SIGINT or"
                + " SIGTERM. Prints curl lines to try.")
        .flags(List.of(PORT, SITE))
        .examples("dandelionbeam demo", "dandelionbeam demo --site carol --port 9080")
        .status(ExitStatus.OK, "a signal came")
        .status(ExitStatus.FAILED, "the fleet could not start")
        .status(ExitStatus.USAGE, "the flags are wrong")
        .build()
        .text();
  }

  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    Arguments arguments = Arguments.parse(List.of(PORT, SITE), args, Map.of());
    Optional<Integer> port = SiteArguments.port(arguments, PORT);
    Optional<Site> site = SiteArguments.site(arguments, SITE);
    if (!arguments.problems().isEmpty() || port.isEmpty() || site.isEmpty()) {
      arguments.problems().forEach(problem -> err.println(problem.message()));
      return ExitStatus.USAGE.status();
    }
    return run(port.get(), site.get(), out, err);
  }

  private static int run(int port, Site site, PrintStream out, PrintStream err) {
    String lastEngine =
        site.configuration().upstreams().stream()
            .filter(upstream -> !upstream.models().isEmpty())
            .reduce((first, second) -> second)
            .orElseThrow()
            .name();
    try (LocalFleet fleet =
        LocalFleet.builder()
            .texts(site.texts())
            .pace(StandIns.Pace.moderate(List.of(lastEngine)))
            .callerPort(port)
            .start()) {
      ApplyResult applied = fleet.apply(List.of());
      if (!(applied instanceof ApplyResult.Accepted) || !fleet.awaitReady(READY_TIMEOUT)) {
        err.println(
            "the configuration was not accepted or the fleet did not become ready in time: "
                + applied);
        return ExitStatus.FAILED.status();
      }
      new DemoInstructions(site, port, out).print();
      awaitSignal();
    }
    return ExitStatus.OK.status();
  }

  /** Waits for SIGINT or SIGTERM, which ends the process with exit status 0. */
  static void awaitSignal() {
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> Runtime.getRuntime().halt(0)));
    try {
      stopped.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
