package org.dandelionbeam.daemon;

import java.util.Optional;
import org.dandelionbeam.daemon.fleet.Site;

/** Arguments that the commands on stand-ins share. */
final class SiteArguments {
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
