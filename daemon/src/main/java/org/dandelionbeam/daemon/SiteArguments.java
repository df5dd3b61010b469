package org.dandelionbeam.daemon;

import java.util.Optional;
import org.dandelionbeam.daemon.fleet.Site;

/** Parsers of the arguments that the {@code demo} and {@code stand-ins} commands share. */
final class SiteArguments {
  /** Leaves two ports above it for the other routers of the demo, whose last port is 65535. */
  private static final int MAX_PORT = 65_533;

  private SiteArguments() {}

  static Optional<Integer> port(Arguments arguments, Flag flag) {
    String text = arguments.text(flag).orElseThrow();
    if (text.matches("[0-9]{1,5}") && Integer.parseInt(text) <= MAX_PORT) {
      return Optional.of(Integer.valueOf(text));
    }
    arguments.addInvalidValue(flag, text, "a TCP port from 1 to " + MAX_PORT);
    return Optional.empty();
  }

  static Optional<Site> site(Arguments arguments, Flag flag) {
    String text = arguments.text(flag).orElseThrow();
    try {
      return Optional.of(Site.of(text));
    } catch (IllegalArgumentException e) {
      arguments.addInvalidValue(flag, text, "one of demo, majlis, carol");
      return Optional.empty();
    }
  }
}
