package org.dandelionbeam.dispatch;

import org.dandelionbeam.base.TeamId;

/** Weights and queue limits of teams. */
public interface TeamPolicy {

  /**
   * Returns the weight of a team; teams with waiting tickets share the upstreams in proportion to
   * it.
   *
   * @param team the team
   * @return a weight above 0
   */
  double weight(TeamId team);

  /**
   * Returns the most tickets of a team that may wait in one queue.
   *
   * @param team the team
   * @return a limit of at least 0
   */
  int maxQueued(TeamId team);
}
