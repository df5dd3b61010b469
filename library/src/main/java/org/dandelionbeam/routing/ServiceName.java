package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

/**
 * Name of a service that upstreams belong to.
 *
 * @param text the name, not blank
 */
public record ServiceName(String text) implements Comparable<ServiceName> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name is blank
   */
  public ServiceName {
    requireNonNull(text, "text");
    if (text.isBlank()) {
      throw new IllegalArgumentException("service name must not be blank");
    }
  }

  /**
   * Creates a service name.
   *
   * @param text the name, not blank
   * @return the service name
   */
  public static ServiceName of(String text) {
    return new ServiceName(text);
  }

  /**
   * Returns the number that identifies the service in messages between routers.
   *
   * @return hash of the name
   */
  public int number() {
    return text.hashCode();
  }

  @Override
  public int compareTo(ServiceName other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
