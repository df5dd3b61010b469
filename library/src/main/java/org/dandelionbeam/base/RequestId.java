package org.dandelionbeam.base;

import static java.util.Objects.requireNonNull;

/**
 * Id of a request of a caller, unique for each request.
 *
 * @param name the name, not blank
 */
public record RequestId(String name) implements Comparable<RequestId> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name is blank
   */
  public RequestId {
    requireNonNull(name, "name");
    if (name.isBlank()) {
      throw new IllegalArgumentException("request name must not be blank");
    }
  }

  /**
   * Returns the id with the given name.
   *
   * @param name the name, not blank
   * @return the id
   */
  public static RequestId of(String name) {
    return new RequestId(name);
  }

  @Override
  public int compareTo(RequestId other) {
    return name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return name;
  }
}
