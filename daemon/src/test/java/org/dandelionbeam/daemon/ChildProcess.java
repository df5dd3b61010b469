package org.dandelionbeam.daemon;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/** Runs the command line program in a child process. */
final class ChildProcess implements AutoCloseable {
  private static final int WAIT_SECONDS = 60;
  private static final int FIRST_PORT = 20_000;
  private static final int PORTS = 10_000;

  private final Process process;
  private final BufferedReader out;
  private final Path errors;

  private ChildProcess(Process process, Path errors) {
    this.process = process;
    this.errors = errors;
    out = process.inputReader(StandardCharsets.UTF_8);
  }

  static ChildProcess start(
      List<String> jvmFlags, Map<String, String> environment, String... arguments)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add("-Xmx256m");
    command.addAll(jvmFlags);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName()));
    command.addAll(List.of(arguments));
    Path errors = Files.createTempFile("dandelionbeam", ".log");
    ProcessBuilder builder = new ProcessBuilder(command).redirectError(errors.toFile());
    builder.environment().keySet().removeIf(name -> name.startsWith(Flag.VARIABLE_PREFIX));
    builder.environment().putAll(environment);
    return new ChildProcess(builder.start(), errors);
  }

  /**
   * Returns the first of {@code count} consecutive free loopback ports. They are below the
   * ephemeral range, so that the system does not assign them to outgoing connections.
   */
  static int freePorts(int count) {
    int start = FIRST_PORT + (int) (ProcessHandle.current().pid() % PORTS);
    return IntStream.range(0, PORTS)
        .map(step -> FIRST_PORT + (start - FIRST_PORT + step * count) % PORTS)
        .filter(port -> IntStream.range(port, port + count).allMatch(ChildProcess::isFree))
        .findFirst()
        .orElseThrow();
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }

  /** Waits for the next line of standard output; returns null once the process has ended. */
  String nextLine() throws IOException {
    return out.readLine();
  }

  /** Sends SIGTERM and returns the exit status. */
  int terminate() throws InterruptedException {
    process.destroy();
    if (!process.waitFor(WAIT_SECONDS, TimeUnit.SECONDS)) {
      throw new IllegalStateException("still running " + WAIT_SECONDS + " s after SIGTERM");
    }
    return process.exitValue();
  }

  /** Returns all that was written to standard error so far. */
  String errors() throws IOException {
    return Files.readString(errors);
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    Files.delete(errors);
  }
}
