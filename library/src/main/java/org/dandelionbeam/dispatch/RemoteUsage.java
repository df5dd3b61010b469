package org.dandelionbeam.dispatch;

import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;

/** Usage of teams at the other owners of a service. */
@FunctionalInterface
public interface RemoteUsage {

  /**
   * Returns the cumulative usage of a team at all other owners.
   *
   * @param service the service
   * @param team the team
   * @return a total in the service's cost unit; it may decrease while the total is being rebuilt
   */
  double remoteUsage(ServiceId service, TeamId team);

  /**
   * Returns a source for an owner that knows no other owners.
   *
   * @return a source that always returns 0
   */
  static RemoteUsage none() {
    return (service, team) -> 0;
  }
}
