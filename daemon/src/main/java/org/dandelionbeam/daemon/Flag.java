package org.dandelionbeam.daemon;

import static java.util.Objects.requireNonNull;

import java.util.Locale;
import java.util.Optional;
import org.apache.commons.cli.Option;

/**
 * A flag of a command and the environment variable that is read if the flag is not given.
 *
 * @param name long name without the dashes
 * @param argumentName name of its value in the help text, empty for a switch
 * @param description what it does, with the unit
 * @param defaultValue value if neither the flag nor the variable is given
 * @param variable name of the environment variable, empty if the flag has none
 * @param isRepeatable whether it may be given more than once
 */
public record Flag(
    String name,
    String argumentName,
    String description,
    Optional<String> defaultValue,
    Optional<String> variable,
    boolean isRepeatable) {
  /** Prefix of the names of all environment variables. */
  public static final String VARIABLE_PREFIX = "DANDELIONBEAM_";

  /** Checks that no component is null. */
  public Flag {
    requireNonNull(name, "name");
    requireNonNull(argumentName, "argumentName");
    requireNonNull(description, "description");
    requireNonNull(defaultValue, "defaultValue");
    requireNonNull(variable, "variable");
  }

  /**
   * Returns a flag with a value and without default or variable.
   *
   * @param name long name without the dashes
   * @param argumentName name of its value
   * @param description what it does, with the unit
   * @return the flag
   */
  public static Flag of(String name, String argumentName, String description) {
    return new Flag(name, argumentName, description, Optional.empty(), Optional.empty(), false);
  }

  /**
   * Returns a switch, which is a flag without a value.
   *
   * @param name long name without the dashes
   * @param description what it does
   * @return the flag
   */
  public static Flag ofSwitch(String name, String description) {
    return of(name, "", description);
  }

  /**
   * Returns this flag with a default.
   *
   * @param value value if neither the flag nor the variable is given
   * @return a copy with the default
   */
  public Flag withDefault(String value) {
    return new Flag(name, argumentName, description, Optional.of(value), variable, isRepeatable);
  }

  /**
   * Returns this flag with an environment variable, whose name is derived from the flag's name.
   *
   * @return a copy with the variable
   */
  public Flag withVariable() {
    String upper = name.toUpperCase(Locale.ROOT).replace('-', '_');
    return new Flag(
        name,
        argumentName,
        description,
        defaultValue,
        Optional.of(VARIABLE_PREFIX + upper),
        isRepeatable);
  }

  /**
   * Returns this flag as one that may be given more than once.
   *
   * @return a repeatable copy
   */
  public Flag repeatable() {
    return new Flag(name, argumentName, description, defaultValue, variable, true);
  }

  /**
   * Returns whether the flag takes a value.
   *
   * @return false for a switch
   */
  public boolean hasArgument() {
    return !argumentName.isEmpty();
  }

  /**
   * Returns the flag as it is written on the command line.
   *
   * @return the name after two dashes
   */
  public String dashedName() {
    return "--" + name;
  }

  /**
   * Returns the option for the parser. The parser accepts a missing value, so that {@link
   * Arguments} reports it with all other problems.
   */
  Option toOption() {
    Option.Builder builder = Option.builder().longOpt(name).desc(helpText());
    if (hasArgument()) {
      builder.hasArg().optionalArg(true).argName(argumentName);
    }
    return builder.get();
  }

  private String helpText() {
    String variableText = variable.map(v -> " Variable: " + v + ".").orElse("");
    return description + defaultValue.map(d -> " Default: " + d + ".").orElse("") + variableText;
  }
}
