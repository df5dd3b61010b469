package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

/**
 * Name that an upstream gave itself at its start.
 *
 * @param text the name, not blank
 */
public record InstanceId(String text) implements Comparable<InstanceId> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name is blank
   */
  public InstanceId {
    requireNonNull(text, "text");
    if (text.isBlank()) {
      throw new IllegalArgumentException("instance id must not be blank");
    }
  }

  /**
   * Returns the id with a name.
   *
   * @param text a name that is not blank
   * @return the id
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
