package org.dandelionbeam.config;

import java.util.List;
import org.dandelionbeam.base.NodeId;

/**
 * Number of members of the fleet that do not have a revision in force yet.
 *
 * <p>The admin API writes the components under their own names.
 *
 * @param revision the revision
 * @param behind number of members without the revision
 * @param names ids of the first few of those members
 * @param ageMillis milliseconds since the root of the tree of members counted them
 */
public record RolloutTotal(long revision, int behind, List<NodeId> names, int ageMillis) {

  /** Copies the list. */
  public RolloutTotal {
    names = List.copyOf(names);
  }
}
