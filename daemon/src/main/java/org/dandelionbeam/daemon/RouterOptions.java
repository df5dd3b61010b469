package org.dandelionbeam.daemon;

import static java.util.Objects.requireNonNull;

import org.dandelionbeam.node.RouterSettings;
import org.slf4j.event.Level;

/**
 * Validated options of the {@code router} command.
 *
 * @param settings settings of the router
 * @param logFormat format of the log lines
 * @param logLevel lowest level that is logged
 */
public record RouterOptions(RouterSettings settings, LogFormat logFormat, Level logLevel) {

  /** Checks that no component is null. */
  public RouterOptions {
    requireNonNull(settings, "settings");
    requireNonNull(logFormat, "logFormat");
    requireNonNull(logLevel, "logLevel");
  }
}
