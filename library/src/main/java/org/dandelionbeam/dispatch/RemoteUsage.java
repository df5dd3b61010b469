package org.dandelionbeam.dispatch;

import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;

/** Service that teams had at the other owners of a service. */
@FunctionalInterface
public interface RemoteUsage {

  /**
   * Returns the cumulative service of a team at all other owners.
   *
   * @param service the service
   * @param team the team
   * @return a total in the service's cost unit; it may fall while a total is being rebuilt
   */
  double remoteUsage(ServiceId service, TeamId team);

  /**
   * Returns a source for an owner that hears of no other.
   *
   * @return a source of zeros
   */
  static RemoteUsage none() {
    return (service, team) -> 0;
  }
}
