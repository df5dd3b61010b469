package org.dandelionbeam.review;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router, started as a process with the command of the deploy file. */
final class Router implements AutoCloseable {
  private static final Path DEPLOY_FILE = Path.of("deploy/system.toml");
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]*)\"$");
  private static final List<String> KEPT_VARIABLES = List.of("PATH", "HOME", "JAVA_HOME", "LANG");
  private static final int HTTP_TIMEOUT_MS = 1_000;
  private static final long READY_TIMEOUT_MS = 20_000;
  private static final long POLL_MS = 50;
  private static final int OK = 200;

  private final String name;
  private final String zone;
  private final String host;
  private final Ports ports;
  private final Path settings;
  private final File log;
  private Process process;

  /** Ports, which are the same at all routers. */
  record Ports(int front, int ready, int directory, int internal) {}

  Router(String name, String zone, String host, Ports ports, String store, Path folder)
      throws IOException {
    this.name = name;
    this.zone = zone;
    this.host = host;
    this.ports = ports;
    settings = folder.resolve(name + ".yaml");
    log = folder.resolve(name + ".log").toFile();
    Files.writeString(settings, settingsText(store));
  }

  private String settingsText(String store) {
    return String.join(
        "\n",
        "nodeName: \"" + name + "\"",
        "role: \"router\"",
        "nodeClass: \"front\"",
        "serves: [\"front\", \"directory\"]",
        "ip: \"" + host + "\"",
        "zone: \"" + zone + "\"",
        "region: \"semenanjung\"",
        "zones: {a: \"semenanjung\", b: \"semenanjung\", c: \"semenanjung\"}",
        "listen:",
        "  front: \"" + host + ":" + ports.front() + "\"",
        "  ready: \"" + host + ":" + ports.ready() + "\"",
        "  directory: \"" + host + ":" + ports.directory() + "\"",
        "internalPorts: [" + ports.internal() + ", " + (ports.internal() + 15) + "]",
        "seeds: []",
        "bootstrap: true",
        "limits: {cpuShare: 0.75, cores: 1, memoryMb: 280, maxFds: 4100, linkMbps: 1000.0,"
            + " diskMb: 0}",
        "dataDir: null",
        "discovery: \"platform\"",
        "entry: \"directory\"",
        "heartbeatMs: 1200",
        "faultTolerance: {machines: 2, zones: 1, regions: 0}",
        "bounds: {seedLagS: 3, reuseAfterS: 2, stableMs: 3000, ackMs: 4000, catchUpS: 4,"
            + " drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000,"
            + " rollbackSlackMs: 250, outerMs: 5000, revokeStrict: false, revokeMs: 5000,"
            + " retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetExtra: 54,"
            + " coldOverrun: 1.5, coldTolerance: 5, evacuateMs: 5000, recoverS: 12,"
            + " passMs: 120, reuseWindowS: 5.7, quotaWindowS: 4, ttl_max_s: 5}",
        "provider: {address: \""
            + store
            + "\", form: \"kv\", writesPerS: 400, readsPerS: 2000,"
            + " historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}",
        "");
  }

  String name() {
    return name;
  }

  String host() {
    return host;
  }

  int port() {
    return ports.front();
  }

  /** Returns the address of the metrics page. */
  String metricsAddress() {
    return "http://" + host + ":" + (ports.internal() + 1) + "/metrics";
  }

  /** Starts the process, in the root of the repository. */
  void start() throws IOException {
    Matcher run = RUN.matcher(Files.readString(DEPLOY_FILE));
    if (!run.find()) {
      throw new IOException(DEPLOY_FILE + " names no command");
    }
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
    Map<String, String> variables = builder.environment();
    variables.keySet().retainAll(KEPT_VARIABLES);
    variables.put("DANDELIONBEAM_SETTINGS", settings.toString());
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    process = builder.start();
  }

  /** Waits until the router says that it is ready. */
  void awaitReady() throws IOException, InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
    while (!isReady()) {
      if (System.nanoTime() - endNanos > 0 || !process.isAlive()) {
        throw new IOException(name + " is not ready, see " + log);
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    }
  }

  boolean isReady() {
    return status("http://" + host + ":" + ports.ready() + "/-/ready") == OK;
  }

  private static int status(String address) {
    try {
      HttpURLConnection connection =
          (HttpURLConnection) URI.create(address).toURL().openConnection();
      connection.setConnectTimeout(HTTP_TIMEOUT_MS);
      connection.setReadTimeout(HTTP_TIMEOUT_MS);
      int status = connection.getResponseCode();
      connection.disconnect();
      return status;
    } catch (IOException e) {
      return 0;
    }
  }

  boolean isAlive() {
    return process.isAlive();
  }

  File log() {
    return log;
  }

  /** Ends the process without a warning. */
  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
