package org.dandelionbeam.config;

import java.util.List;

/**
 * What a node knows about the configuration in force and its rollout.
 *
 * @param revision revision in force on this node, 0 for none
 * @param ageNanos nanoseconds since that revision came into force on this node
 * @param newestRevision highest revision known to be in force on any node
 * @param refusedRevision highest revision in the platform store that this node refuses as invalid,
 *     0 for none
 * @param problems errors of the refused revision, empty if none is refused
 * @param total most recent total, known to this node, of members that lack a revision
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
