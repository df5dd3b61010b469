package org.dandelionbeam.config;

import java.util.List;
import org.dandelionbeam.base.NodeId;

/**
 * How many members do not have a revision in force yet.
 *
 * @param revision the revision
 * @param behind number of members without it
 * @param names names of the first few of them
 * @param ageMillis time since it was added up
 */
public record RolloutTotal(long revision, int behind, List<NodeId> names, int ageMillis) {

  /** Copies the list. */
  public RolloutTotal {
    names = List.copyOf(names);
  }
}
