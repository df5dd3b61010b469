package org.dandelionbeam.review;

import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router of a small deployment, started as a process with the command of the deploy file. */
final class RouterProcess implements AutoCloseable {
  private static final Path DEPLOY_FILE = Path.of("deploy/system.toml");
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]+)\"$");
  private static final List<String> PASSED_VARIABLES = List.of("PATH", "HOME", "JAVA_HOME", "LANG");
  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final int POLL_MS = 100;

  private final String name;
  private final String host;
  private final int callersPort;
  private final int readyPort;
  private final int directoryPort;
  private final Path settings;
  private final File log;
  private Process process;

  RouterProcess(String name, String zone, String host, String store, Path folder)
      throws IOException {
    this.name = name;
    this.host = host;
    List<Integer> ports = freePorts(host, 5);
    callersPort = ports.get(0);
    readyPort = ports.get(1);
    directoryPort = ports.get(2);
    settings = folder.resolve(name + ".yaml");
    log = folder.resolve(name + ".log").toFile();
    Files.writeString(settings, settingsText(zone, store, freePairOfPorts(host)));
  }

  private static List<Integer> freePorts(String host, int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host));
      sockets.add(socket);
      ports.add(socket.getLocalPort());
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  /** Returns a free port whose successor is free too. */
  private static int freePairOfPorts(String host) throws IOException {
    while (true) {
      int port = freePorts(host, 1).get(0);
      if (isFree(host, port + 1)) {
        return port;
      }
    }
  }

  private static boolean isFree(String host, int port) throws IOException {
    try {
      new ServerSocket(port, 1, InetAddress.getByName(host)).close();
      return true;
    } catch (BindException e) {
      // Another process has the port.
      return false;
    }
  }

  private String settingsText(String zone, String store, int internalPort) {
    return String.join(
        "\n",
        "nodeName: \"" + name + "\"",
        "role: \"router\"",
        "nodeClass: \"front\"",
        "serves: [\"front\", \"directory\"]",
        "ip: \"" + host + "\"",
        "zone: \"" + zone + "\"",
        "region: \"semenanjung\"",
        "listen:",
        "  front: \"" + host + ":" + callersPort + "\"",
        "  ready: \"" + host + ":" + readyPort + "\"",
        "  directory: \"" + host + ":" + directoryPort + "\"",
        "internalPorts: [" + internalPort + ", " + (internalPort + 1) + "]",
        "bootstrap: true",
        "limits: {cpuShare: 0.75, cores: 1, memoryMb: 280, maxFds: 4100, linkMbps: 1000.0}",
        "discovery: \"platform\"",
        "entry: \"directory\"",
        "heartbeatMs: 1200",
        "bounds: {seedLagS: 3, reuseAfterS: 2, stableMs: 3000, ackMs: 4000, catchUpS: 4,"
            + " drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000,"
            + " rollbackSlackMs: 250, outerMs: 5000, revokeStrict: false, revokeMs: 5000,"
            + " retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetExtra: 54,"
            + " coldOverrun: 1.5, coldTolerance: 5, evacuateMs: 5000, recoverS: 12,"
            + " passMs: 120, reuseWindowS: 5.7, quotaWindowS: 4, ttl_max_s: 5}",
        "provider: {address: \""
            + store
            + "\", form: \"kv\", writesPerS: 400,"
            + " readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}",
        "");
  }

  String name() {
    return name;
  }

  InetSocketAddress callers() {
    return new InetSocketAddress(host, callersPort);
  }

  InetSocketAddress directory() {
    return new InetSocketAddress(host, directoryPort);
  }

  InetSocketAddress ready() {
    return new InetSocketAddress(host, readyPort);
  }

  long pid() {
    return process.pid();
  }

  /** Starts the process with the command and the variables that the deploy file and page name. */
  void start() throws IOException {
    Matcher run = RUN.matcher(Files.readString(DEPLOY_FILE, StandardCharsets.UTF_8));
    if (!run.find()) {
      throw new IOException("no command to run in " + DEPLOY_FILE);
    }
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(PASSED_VARIABLES);
    environment.put("DANDELIONBEAM_SETTINGS", settings.toString());
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    process = builder.start();
  }

  /** Waits until the router says that it is ready. */
  boolean awaitReady(long timeoutSeconds) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
    while (System.nanoTime() - end < 0) {
      if (isReady()) {
        return true;
      }
      Thread.sleep(POLL_MS);
    }
    return false;
  }

  private boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(ready(), CONNECT_TIMEOUT_MS);
      socket.setSoTimeout(CONNECT_TIMEOUT_MS);
      HttpClientMessage.writeHead(
          socket, "GET /-/ready HTTP/1.1", List.of("Host: " + host, "Connection: close"));
      return HttpClientMessage.read(socket, false).status() == 200;
    } catch (IOException e) {
      // It does not listen yet.
      return false;
    }
  }

  boolean isRunning() {
    return process != null && process.isAlive();
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
  }

  /** Waits until the process has ended. */
  boolean awaitEnd(long timeoutMs) throws InterruptedException {
    return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
