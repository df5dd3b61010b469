package org.dandelionbeam.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dandelionbeam.daemon.fleet.Site;
import org.dandelionbeam.daemon.fleet.StandIns;
import org.dandelionbeam.standins.PlatformStandIn;

/** Command that runs the stand-ins of a site, which simulate its upstreams and its platform. */
final class StandInsCommand implements Command {
  private static final Flag SITE =
      Flag.of("site", "NAME", "Configuration whose upstreams to simulate: demo, majlis or carol.")
          .withDefault("demo");
  private static final Flag PLATFORM_PORT =
      Flag.of("platform-port", "PORT", "TCP port of the platform's key-value store on 127.0.0.1.")
          .withDefault("7070");
  private static final Flag OVERLAY =
      Flag.of("overlay", "FILE", "File to write the addresses of the upstreams to, as an overlay.");
  private static final Flag BASE =
      Flag.of("base", "FILE", "File to write the site's base configuration to.");
  private static final List<Flag> FLAGS = List.of(SITE, PLATFORM_PORT, OVERLAY, BASE);

  @Override
  public String name() {
    return "stand-ins";
  }

  @Override
  public String summary() {
    return "run the stand-ins of a site for routers in other processes";
  }

  @Override
  public String help() {
    return HelpPage.builder("dandelionbeam stand-ins [FLAGS]")
        .paragraph(
            "Runs stand-ins for the platform, the engines and the plain services of a site on"
                + " loopback, until SIGINT or SIGTERM. Routers in other processes connect to them;"
                + " the written files are the input of config apply.")
        .flags(FLAGS)
        .examples(
            "dandelionbeam stand-ins --base base.yaml --overlay stand-ins.yaml",
            "dandelionbeam router --platform-uri http://127.0.0.1:7070 --domain a ...",
            "dandelionbeam config apply --base base.yaml --overlay stand-ins.yaml ...")
        .status(ExitStatus.OK, "a signal came")
        .status(ExitStatus.FAILED, "a file could not be written or a port is taken")
        .status(ExitStatus.USAGE, "the flags are wrong")
        .build()
        .text();
  }

  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    Arguments arguments = Arguments.parse(FLAGS, args, Map.of());
    Optional<Integer> port = SiteArguments.port(arguments, PLATFORM_PORT);
    Optional<Site> site = SiteArguments.site(arguments, SITE);
    Optional<String> overlay = arguments.required(OVERLAY, "a file name");
    Optional<String> base = arguments.required(BASE, "a file name");
    if (!arguments.problems().isEmpty()) {
      arguments.problems().forEach(problem -> err.println(problem.message()));
      return ExitStatus.USAGE.status();
    }
    try (PlatformStandIn platform = PlatformStandIn.builder().port(port.get()).start();
        StandIns standIns =
            StandIns.start(site.get().configuration(), StandIns.Pace.moderate(List.of()))) {
      Files.writeString(Path.of(base.get()), site.get().texts().get(0).content());
      Files.writeString(Path.of(overlay.get()), overlayText(site.get(), standIns));
      out.println("platform " + platform.baseUri());
      out.flush();
      DemoCommand.awaitSignal();
      return ExitStatus.OK.status();
    } catch (IOException | RuntimeException e) {
      err.println("the stand-ins could not start or a file could not be written: " + e);
      return ExitStatus.FAILED.status();
    }
  }

  private static String overlayText(Site site, StandIns standIns) {
    return Site.addressOverlay(site.configuration().upstreams(), standIns).content();
  }
}
