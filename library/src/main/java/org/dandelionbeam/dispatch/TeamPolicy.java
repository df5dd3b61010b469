package org.dandelionbeam.dispatch;

import org.dandelionbeam.base.TeamId;

/** What the configuration in force grants a team. */
public interface TeamPolicy {

  /**
   * Returns the share of a team relative to other teams.
   *
   * @param team the team
   * @return a number above 0
   */
  double weight(TeamId team);

  /**
   * Returns how many tickets of a team may wait in one queue.
   *
   * @param team the team
   * @return a number that is not negative
   */
  int maxQueued(TeamId team);
}
