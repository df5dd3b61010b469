package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

/**
 * Name of a team, as written in the configuration.
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
   * Creates a team name.
   *
   * @param text the name, not blank
   * @return the team name
   */
  public static TeamName of(String text) {
    return new TeamName(text);
  }

  /**
   * Returns the number that identifies the team in messages between routers.
   *
   * @return hash of the name
   */
  public int number() {
    return text.hashCode();
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
