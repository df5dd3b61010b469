package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

/**
 * Name of a team as the operators wrote it.
 *
 * @param text the name, not blank
 */
public record TeamName(String text) implements Comparable<TeamName> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name is blank
   */
  public TeamName {
    requireNonNull(text, "text");
    if (text.isBlank()) {
      throw new IllegalArgumentException("team name must not be blank");
    }
  }

  /**
   * Returns the id with a name.
   *
   * @param text a name that is not blank
   * @return the id
   */
  public static TeamName of(String text) {
    return new TeamName(text);
  }

  @Override
  public int compareTo(TeamName other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
