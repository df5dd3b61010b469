package org.dandelionbeam.daemon;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FleetException;
import org.slf4j.LoggerFactory;

/** Entry point of the command line program. */
public final class Main {
  private static final String PROGRAM = "dandelionbeam";

  private Main() {}

  /**
   * Runs the command that the first argument names and exits with its status.
   *
   * @param args command and its arguments
   */
  public static void main(String[] args) {
    System.exit(run(Commands.all(System.getenv()), List.of(args), System.out, System.err));
  }

  /**
   * Runs a command.
   *
   * @param commands all commands
   * @param args command and its arguments
   * @param out standard output
   * @param err standard error
   * @return exit status
   */
  static int run(List<Command> commands, List<String> args, PrintStream out, PrintStream err) {
    String commandName = args.isEmpty() ? "" : args.get(0);
    List<String> rest = args.isEmpty() ? List.of() : args.subList(1, args.size());
    return switch (commandName) {
      case "--version" -> print(out, version());
      case "--help", "help" -> help(commands, rest, out, err);
      default ->
          findCommand(commands, commandName)
              .map(command -> run(command, rest, out, err))
              .orElseGet(() -> reportUnknownCommand(commands, commandName, err));
    };
  }

  private static int run(Command command, List<String> args, PrintStream out, PrintStream err) {
    if (args.contains("--help")) {
      return print(out, command.help());
    }
    try {
      return command.run(args, out, err);
    } catch (FleetException e) {
      err.println(e.code() + ": " + e.getMessage() + " (" + e.code().remedy() + ")");
      boolean isSetting = e.code() == ErrorCode.INVALID_SETTING;
      return (isSetting ? ExitStatus.USAGE : ExitStatus.FAILED).status();
    } catch (RuntimeException e) {
      err.println(ErrorCode.INTERNAL + ": " + command.name() + " failed: " + e);
      LoggerFactory.getLogger(Main.class).debug("{} failed", command.name(), e);
      return ExitStatus.FAILED.status();
    }
  }

  private static int help(
      List<Command> commands, List<String> rest, PrintStream out, PrintStream err) {
    if (rest.isEmpty()) {
      return print(out, overview(commands));
    }
    return findCommand(commands, rest.get(0))
        .map(command -> print(out, command.help()))
        .orElseGet(() -> reportUnknownCommand(commands, rest.get(0), err));
  }

  private static Optional<Command> findCommand(List<Command> commands, String commandName) {
    return commands.stream().filter(command -> command.name().equals(commandName)).findFirst();
  }

  private static int reportUnknownCommand(
      List<Command> commands, String commandName, PrintStream err) {
    String names = String.join(", ", commands.stream().map(Command::name).toList());
    String found = commandName.isEmpty() ? "nothing" : "\"" + commandName + "\"";
    err.println(new SettingProblem("command", found, "one of " + names).message());
    err.println("Run " + PROGRAM + " --help for what they do.");
    return ExitStatus.USAGE.status();
  }

  private static String overview(List<Command> commands) {
    int width = commands.stream().mapToInt(command -> command.name().length()).max().orElse(1);
    StringBuilder text = new StringBuilder();
    text.append("Usage\n    ").append(PROGRAM).append(" COMMAND [FLAGS]\n");
    text.append("    ").append(PROGRAM).append(" COMMAND --help\n");
    text.append("    ").append(PROGRAM).append(" --version\n\nCommands\n");
    String rowFormat = "    %-" + width + "s  %s%n";
    commands.forEach(
        command -> text.append(rowFormat.formatted(command.name(), command.summary())));
    text.append("\nExit status\n    0 done, 1 failed, 2 wrong arguments or settings");
    return text.toString();
  }

  private static String version() {
    String version = Main.class.getPackage().getImplementationVersion();
    return PROGRAM + " " + (version == null ? "development" : version);
  }

  private static int print(PrintStream stream, String text) {
    stream.println(text);
    return ExitStatus.OK.status();
  }
}
