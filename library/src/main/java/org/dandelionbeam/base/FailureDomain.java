package org.dandelionbeam.base;

import static java.util.Objects.requireNonNull;

/**
 * Failure domain, a set of VMs that may fail together, identified by its name.
 *
 * @param name the name, not blank
 */
public record FailureDomain(String name) implements Comparable<FailureDomain> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name is blank
   */
  public FailureDomain {
    requireNonNull(name, "name");
    if (name.isBlank()) {
      throw new IllegalArgumentException("failure domain name must not be blank");
    }
  }

  /**
   * Returns the id with the given name.
   *
   * @param name the name, not blank
   * @return the id
   */
  public static FailureDomain of(String name) {
    return new FailureDomain(name);
  }

  @Override
  public int compareTo(FailureDomain other) {
    return name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return name;
  }
}
