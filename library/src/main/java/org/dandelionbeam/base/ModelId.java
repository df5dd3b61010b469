package org.dandelionbeam.base;

/**
 * Id of a model: a number that the configuration assigns to its name and never reuses.
 *
 * @param number the number, not negative
 */
public record ModelId(int number) implements Comparable<ModelId> {

  /**
   * Checks the number.
   *
   * @throws IllegalArgumentException if the number is negative
   */
  public ModelId {
    if (number < 0) {
      throw new IllegalArgumentException("model number must not be negative: " + number);
    }
  }

  /**
   * Returns the id with the given number.
   *
   * @param number the number, not negative
   * @return the id
   */
  public static ModelId of(int number) {
    return new ModelId(number);
  }

  @Override
  public int compareTo(ModelId other) {
    return Integer.compare(number, other.number);
  }
}
