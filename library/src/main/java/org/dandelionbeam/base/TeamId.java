package org.dandelionbeam.base;

/**
 * Id of a team: a number that the configuration assigns to its name and never reuses.
 *
 * @param number the number, not negative
 */
public record TeamId(int number) implements Comparable<TeamId> {

  /**
   * Checks the number.
   *
   * @throws IllegalArgumentException if the number is negative
   */
  public TeamId {
    if (number < 0) {
      throw new IllegalArgumentException("team number must not be negative: " + number);
    }
  }

  /**
   * Returns the id with the given number.
   *
   * @param number the number, not negative
   * @return the id
   */
  public static TeamId of(int number) {
    return new TeamId(number);
  }

  @Override
  public int compareTo(TeamId other) {
    return Integer.compare(number, other.number);
  }
}
