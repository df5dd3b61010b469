package org.dandelionbeam.daemon.load;

import java.util.List;

/**
 * Team in a mix, whose requests are a share of the load.
 *
 * @param name name in the report
 * @param key its bearer key
 * @param weight its weight in the configuration of the fleet
 * @param share its share of the requests, relative to the other teams
 * @param kinds its kinds of request
 */
public record MixTeam(String name, String key, double weight, int share, List<MixKind> kinds) {

  /** Copies the list and checks the values. */
  public MixTeam {
    kinds = kinds == null ? List.of() : List.copyOf(kinds);
    if (name == null || key == null) {
      throw new IllegalArgumentException("team: expected a name and a key");
    }
    if (weight <= 0 || share < 1 || kinds.isEmpty()) {
      throw new IllegalArgumentException(
          "team " + name + ": expected weight > 0, share >= 1 and at least one kind");
    }
  }
}
