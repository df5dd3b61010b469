package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

/**
 * Identifier that an upstream process chose for itself when it started.
 *
 * @param text the identifier, not blank
 */
public record InstanceId(String text) implements Comparable<InstanceId> {

  /**
   * Checks the identifier.
   *
   * @throws IllegalArgumentException if the identifier is blank
   */
  public InstanceId {
    requireNonNull(text, "text");
    if (text.isBlank()) {
      throw new IllegalArgumentException("instance id must not be blank");
    }
  }

  /**
   * Creates an instance identifier.
   *
   * @param text the identifier, not blank
   * @return the instance identifier
   */
  public static InstanceId of(String text) {
    return new InstanceId(text);
  }

  @Override
  public int compareTo(InstanceId other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
