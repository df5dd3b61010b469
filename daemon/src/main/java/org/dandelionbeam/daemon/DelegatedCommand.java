package org.dandelionbeam.daemon;

import static java.util.Objects.requireNonNull;

import java.io.PrintStream;
import java.util.List;
import java.util.function.Supplier;

/**
 * Command that delegates its work to a function.
 *
 * @param name name by which the command is called
 * @param summary one short sentence for the list of commands
 * @param page supplies the text of {@code --help}
 * @param runner runs the command
 */
record DelegatedCommand(String name, String summary, Supplier<String> page, Runner runner)
    implements Command {

  DelegatedCommand {
    requireNonNull(name, "name");
    requireNonNull(summary, "summary");
    requireNonNull(page, "page");
    requireNonNull(runner, "runner");
  }

  @Override
  public String help() {
    return page.get();
  }

  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    return runner.run(args, out, err);
  }

  /** Function that runs a command. */
  @FunctionalInterface
  interface Runner {

    /** Runs the command and returns its exit status. */
    int run(List<String> args, PrintStream out, PrintStream err);
  }
}
