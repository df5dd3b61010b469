package org.dandelionbeam.daemon;

import static java.util.Objects.requireNonNull;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import org.slf4j.event.Level;

/** Format of the log lines on standard error. */
public enum LogFormat {
  /** One line of plain text for each event. */
  PLAIN("logback.xml"),
  /** One JSON object for each event. */
  JSON("logback-json.xml");

  private static final String FILE_PROPERTY = "logback.configurationFile";
  private static final String LEVEL_PROPERTY = Flag.VARIABLE_PREFIX + "LOG_LEVEL";

  private final String resource;

  LogFormat(String resource) {
    this.resource = resource;
  }

  /**
   * Finds the format that a value of {@code --log-format} selects.
   *
   * @param optionValue the name in lower case
   * @return the format, empty if there is none of this name
   */
  public static Optional<LogFormat> of(String optionValue) {
    return Arrays.stream(values())
        .filter(format -> format.optionValue().equals(optionValue))
        .findFirst();
  }

  /**
   * Returns the value of {@code --log-format} that selects the format.
   *
   * @return the name in lower case
   */
  public String optionValue() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Returns the Logback configuration of the format.
   *
   * @return name of a class path resource
   */
  public String resource() {
    return resource;
  }

  /**
   * Sets the format and the level for this process; must run before the first logger is created.
   *
   * @param level lowest level that is logged
   */
  public void configureProcess(Level level) {
    System.setProperty(FILE_PROPERTY, resource);
    System.setProperty(LEVEL_PROPERTY, requireNonNull(level, "level").name());
  }
}
