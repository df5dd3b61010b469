package org.dandelionbeam.base;

/**
 * Id of a service: a number that the configuration assigns to its name and never reuses.
 *
 * @param number the number, not negative
 */
public record ServiceId(int number) implements Comparable<ServiceId> {

  /**
   * Checks the number.
   *
   * @throws IllegalArgumentException if the number is negative
   */
  public ServiceId {
    if (number < 0) {
      throw new IllegalArgumentException("service number must not be negative: " + number);
    }
  }

  /**
   * Returns the id with the given number.
   *
   * @param number the number, not negative
   * @return the id
   */
  public static ServiceId of(int number) {
    return new ServiceId(number);
  }

  @Override
  public int compareTo(ServiceId other) {
    return Integer.compare(number, other.number);
  }
}
