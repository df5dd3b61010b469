package org.dandelionbeam.daemon;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.DefaultParser.NonOptionAction;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Parsed arguments of a command; a flag takes precedence over its environment variable. */
public final class Arguments {
  private static final String NOTHING_FOUND = "nothing";

  private final Map<String, String> environment;
  private final CommandLine commandLine;
  private final List<String> positionals = new ArrayList<>();
  private final List<SettingProblem> problems = new ArrayList<>();

  private Arguments(CommandLine line, Map<String, String> environment) {
    this.commandLine = line;
    this.environment = environment;
  }

  /**
   * Parses arguments.
   *
   * @param flags flags of the command
   * @param args arguments after the name of the command
   * @param environment the environment variables
   * @return the arguments, with a problem for each unknown flag and each flag without its value
   */
  public static Arguments parse(
      List<Flag> flags, List<String> args, Map<String, String> environment) {
    Options options = new Options();
    flags.forEach(flag -> options.addOption(flag.toOption()));
    DefaultParser parser = DefaultParser.builder().setAllowPartialMatching(false).get();
    try {
      String[] tokens = args.toArray(String[]::new);
      CommandLine line = parser.parse(options, null, NonOptionAction.SKIP, tokens);
      Arguments arguments = new Arguments(line, environment);
      arguments.collectPositionals();
      flags.forEach(arguments::requireValue);
      flags.forEach(arguments::rejectRepeats);
      return arguments;
    } catch (ParseException e) {
      Arguments arguments = new Arguments(CommandLine.builder().get(), environment);
      arguments.problems.add(new SettingProblem("arguments", e.getMessage(), "known flags"));
      return arguments;
    }
  }

  /**
   * Returns the value of a flag, else that of its environment variable, else its default.
   *
   * @param flag the flag
   * @return the value, empty if there is none
   */
  public Optional<String> text(Flag flag) {
    return explicitValue(flag).or(flag::defaultValue);
  }

  /**
   * Returns all values of a flag that may be repeated or may hold a comma-separated list.
   *
   * @param flag the flag
   * @return the values without surrounding blanks, empty if there are none
   */
  public List<String> texts(Flag flag) {
    String[] values = commandLine.getOptionValues(flag.name());
    List<String> lists = values == null ? text(flag).stream().toList() : List.of(values);
    return lists.stream()
        .flatMap(list -> Arrays.stream(list.split(",", -1)))
        .map(String::strip)
        .toList();
  }

  /**
   * Returns whether a flag is on the command line.
   *
   * @param flag the flag
   * @return true if it is, with or without a value
   */
  public boolean has(Flag flag) {
    return commandLine.hasOption(flag.name());
  }

  /**
   * Returns the positional arguments, which are neither flags nor values of flags.
   *
   * @return the positional arguments in order
   */
  public List<String> positionals() {
    return List.copyOf(positionals);
  }

  /**
   * Returns the value of a required flag and records a problem if it has none.
   *
   * @param flag the flag
   * @param expected what would be right
   * @return the value, empty if there is none
   */
  public Optional<String> required(Flag flag, String expected) {
    Optional<String> value = text(flag);
    if (value.isEmpty() && !has(flag)) {
      problems.add(new SettingProblem(flag.dashedName(), NOTHING_FOUND, expected));
    }
    return value;
  }

  /**
   * Records that the value of a flag or of its environment variable is invalid.
   *
   * @param flag the flag
   * @param value the value
   * @param expected what would be right
   */
  public void addInvalidValue(Flag flag, String value, String expected) {
    problems.add(SettingProblem.ofValue(origin(flag), value, expected));
  }

  /**
   * Records a problem.
   *
   * @param problem the problem to report
   */
  public void addProblem(SettingProblem problem) {
    problems.add(problem);
  }

  /**
   * Returns all problems recorded so far.
   *
   * @return the problems in order
   */
  public List<SettingProblem> problems() {
    return List.copyOf(problems);
  }

  /**
   * Returns the name of the flag or environment variable that supplies the value of a flag.
   *
   * @param flag the flag
   * @return the variable if it is set and the flag is not given, else the flag with its dashes
   */
  public String origin(Flag flag) {
    return has(flag) || explicitValue(flag).isEmpty()
        ? flag.dashedName()
        : flag.variable().orElseThrow();
  }

  private Optional<String> explicitValue(Flag flag) {
    return has(flag)
        ? Optional.ofNullable(commandLine.getOptionValue(flag.name()))
        : flag.variable().map(environment::get);
  }

  private void requireValue(Flag flag) {
    if (flag.hasArgument() && has(flag) && commandLine.getOptionValue(flag.name()) == null) {
      problems.add(new SettingProblem(flag.dashedName(), "no value", "a value after the flag"));
    }
  }

  private void rejectRepeats(Flag flag) {
    long occurrences =
        Arrays.stream(commandLine.getOptions())
            .filter(o -> flag.name().equals(o.getLongOpt()))
            .count();
    if (occurrences > 1 && !flag.isRepeatable()) {
      problems.add(
          new SettingProblem(
              flag.dashedName(), "the flag " + occurrences + " times", "the flag once"));
    }
  }

  /** Separates positional arguments from unknown flags and skips the value after an unknown one. */
  private void collectPositionals() {
    boolean followsUnknownFlag = false;
    for (String token : commandLine.getArgList()) {
      boolean isFlag = token.startsWith("-") && token.length() > 1;
      if (isFlag) {
        problems.add(new SettingProblem(token, "an unknown flag", "a flag that --help lists"));
      } else if (!followsUnknownFlag) {
        positionals.add(token);
      }
      followsUnknownFlag = isFlag;
    }
  }
}
