package org.dandelionbeam.dispatch;

import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;

/** Takes note of the service that an owner gives to teams. */
public interface UsageListener {

  /**
   * Notes that a ticket was granted.
   *
   * @param service the service
   * @param team the team
   * @param waitNanos time in the owner's queue
   */
  void waited(ServiceId service, TeamId team, long waitNanos);

  /**
   * Notes that a team has work at this owner.
   *
   * @param service the service
   * @param team the team
   */
  void queued(ServiceId service, TeamId team);

  /**
   * Notes a charge: an estimate when a ticket is granted, and its correction at the end.
   *
   * @param service the service
   * @param team the team
   * @param cost cost in the service's unit; a correction may be negative
   */
  void charged(ServiceId service, TeamId team, double cost);

  /**
   * Notes that a granted request ended.
   *
   * @param service the service
   * @param team the team
   * @param cost measured cost, 0 if it did no work
   */
  void ended(ServiceId service, TeamId team, double cost);

  /**
   * Returns a log that forgets everything.
   *
   * @return the log
   */
  static UsageListener none() {
    return new UsageListener() {
      @Override
      public void waited(ServiceId service, TeamId team, long waitNanos) {
        // Not kept.
      }

      @Override
      public void queued(ServiceId service, TeamId team) {
        // Not kept.
      }

      @Override
      public void charged(ServiceId service, TeamId team, double cost) {
        // Not kept.
      }

      @Override
      public void ended(ServiceId service, TeamId team, double cost) {
        // Not kept.
      }
    };
  }
}
