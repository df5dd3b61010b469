package org.dandelionbeam.daemon;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Exit status and captured output of a command. */
public record CommandRun(int status, String out, String err) {

  /** Runs a function and captures what it prints. */
  public static CommandRun of(Runner runner) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    int status = runner.run(stream(out), stream(err));
    return new CommandRun(
        status, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
  }

  /** Runs a command with arguments and captures what it prints. */
  public static CommandRun of(Command command, String... args) {
    return of((out, err) -> command.run(List.of(args), out, err));
  }

  private static PrintStream stream(ByteArrayOutputStream bytes) {
    return new PrintStream(bytes, true, StandardCharsets.UTF_8);
  }

  /** Function that prints to two streams and returns an exit status. */
  @FunctionalInterface
  public interface Runner {
    int run(PrintStream out, PrintStream err);
  }
}
