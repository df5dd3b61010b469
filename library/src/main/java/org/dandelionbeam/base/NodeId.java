package org.dandelionbeam.base;

import static java.util.Objects.requireNonNull;

/**
 * Id of a node: its name, unique in the fleet.
 *
 * @param name the name, not blank
 */
public record NodeId(String name) implements Comparable<NodeId> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name is blank
   */
  public NodeId {
    requireNonNull(name, "name");
    if (name.isBlank()) {
      throw new IllegalArgumentException("node name must not be blank");
    }
  }

  /**
   * Returns the id with the given name.
   *
   * @param name the name, not blank
   * @return the id
   */
  public static NodeId of(String name) {
    return new NodeId(name);
  }

  @Override
  public int compareTo(NodeId other) {
    return name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return name;
  }
}
