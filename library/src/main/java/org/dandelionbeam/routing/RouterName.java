package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

/**
 * Name of a router of the fleet.
 *
 * @param text the name, not blank
 */
public record RouterName(String text) implements Comparable<RouterName> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name is blank
   */
  public RouterName {
    requireNonNull(text, "text");
    if (text.isBlank()) {
      throw new IllegalArgumentException("router name must not be blank");
    }
  }

  /**
   * Creates a router name.
   *
   * @param text the name, not blank
   * @return the router name
   */
  public static RouterName of(String text) {
    return new RouterName(text);
  }

  /**
   * Returns the number that identifies the router in messages between routers.
   *
   * @return hash of the name
   */
  public int number() {
    return text.hashCode();
  }

  @Override
  public int compareTo(RouterName other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
