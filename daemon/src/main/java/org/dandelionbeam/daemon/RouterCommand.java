package org.dandelionbeam.daemon;

import static java.util.Objects.requireNonNull;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.dandelionbeam.node.RouterSettings;

/** Command that runs one router until SIGTERM or SIGINT. */
public final class RouterCommand implements Command {
  private static final Duration DRAIN_OVERRUN_MARGIN = Duration.ofSeconds(10);

  private final Map<String, String> environment;
  private final RouterLauncher launcher;

  private RouterCommand(Map<String, String> environment, RouterLauncher launcher) {
    this.environment = Map.copyOf(environment);
    this.launcher = requireNonNull(launcher, "launcher");
  }

  /**
   * Returns the command.
   *
   * @param environment the environment variables
   * @param launcher starts the router once the settings are valid
   * @return the command
   */
  public static RouterCommand of(Map<String, String> environment, RouterLauncher launcher) {
    return new RouterCommand(environment, launcher);
  }

  @Override
  public String name() {
    return "router";
  }

  @Override
  public String summary() {
    return "run one router of a fleet";
  }

  @Override
  public String help() {
    return HelpPage.builder("dandelionbeam router [FLAGS]")
        .paragraph(
            "Runs one router until SIGTERM or SIGINT. It then accepts no new requests, finishes"
                + " running ones, moves streams that outlast the drain timeout to other routers"
                + " and exits; a second signal has no effect meanwhile.")
        .paragraph(
            "All settings are checked before anything starts, and every wrong one is named. A flag"
                + " takes precedence over its environment variable. Logs go to standard error.")
        .flags(RouterFlags.ALL)
        .variable(RouterSettingsReader.FLEET_KEY, "the secret of the fleet, if there is no file")
        .examples(
            "dandelionbeam router --host 10.0.0.7 --domain north \\",
            "    --platform-uri http://10.0.0.2:7070 --fleet-key-file /run/secrets/fleet",
            "DANDELIONBEAM_DOMAIN=north dandelionbeam router --log-format json ...")
        .status(ExitStatus.OK, "a signal came and all running requests ended")
        .status(
            ExitStatus.FAILED, "the router could not start, or the drain failed or took too long")
        .status(ExitStatus.USAGE, "a setting is missing or wrong")
        .build()
        .text();
  }

  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    RouterSettingsReader.Result result = RouterSettingsReader.read(args, environment);
    if (result instanceof RouterSettingsReader.Result.Accepted accepted) {
      return start(accepted.options(), out);
    }
    ((RouterSettingsReader.Result.Refused) result)
        .problems()
        .forEach(problem -> err.println(problem.message()));
    return ExitStatus.USAGE.status();
  }

  private int start(RouterOptions options, PrintStream out) {
    options.logFormat().configureProcess(options.logLevel());
    AutoCloseable router = launcher.start(options.settings());
    RouterSettings settings = options.settings();
    GracefulStop.of(router, settings.drainTimeout().plus(DRAIN_OVERRUN_MARGIN)).install();
    String address = "http://" + settings.host() + ":" + settings.callerPort();
    out.println("router " + settings.node() + " answers callers on " + address);
    GracefulStop.awaitEnd();
    return ExitStatus.OK.status();
  }
}
