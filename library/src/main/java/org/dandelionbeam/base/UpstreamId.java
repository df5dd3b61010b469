package org.dandelionbeam.base;

/**
 * Id of an upstream: a number that the configuration assigns to its name and never reuses.
 *
 * @param number the number, not negative
 */
public record UpstreamId(int number) implements Comparable<UpstreamId> {

  /**
   * Checks the number.
   *
   * @throws IllegalArgumentException if the number is negative
   */
  public UpstreamId {
    if (number < 0) {
      throw new IllegalArgumentException("upstream number must not be negative: " + number);
    }
  }

  /**
   * Returns the id with the given number.
   *
   * @param number the number, not negative
   * @return the id
   */
  public static UpstreamId of(int number) {
    return new UpstreamId(number);
  }

  @Override
  public int compareTo(UpstreamId other) {
    return Integer.compare(number, other.number);
  }
}
