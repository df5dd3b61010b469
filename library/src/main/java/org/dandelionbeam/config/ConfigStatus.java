package org.dandelionbeam.config;

import java.util.List;

/**
 * What a node knows about the configuration in force.
 *
 * @param revision revision in force on this node, 0 for none
 * @param ageNanos time since it came into force here
 * @param newestRevision highest revision that is known to be in force anywhere
 * @param refusedRevision highest revision in the platform that this node refuses, 0 for none
 * @param problems errors of the refused revision
 * @param total youngest total of members without a revision that this node knows
 */
public record ConfigStatus(
    long revision,
    long ageNanos,
    long newestRevision,
    long refusedRevision,
    List<ConfigProblem> problems,
    RolloutTotal total) {

  /** Copies the list. */
  public ConfigStatus {
    problems = List.copyOf(problems);
  }
}
