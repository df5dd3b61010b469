package org.dandelionbeam.dispatch;

import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;

/** Receives the usage of teams at an owner. */
public interface UsageListener {

  /**
   * Called when a ticket was granted.
   *
   * @param service the service
   * @param team the team
   * @param waitNanos waiting time in the owner's queue
   */
  void waited(ServiceId service, TeamId team, long waitNanos);

  /**
   * Called when a ticket of a team was queued at this owner.
   *
   * @param service the service
   * @param team the team
   */
  void queued(ServiceId service, TeamId team);

  /**
   * Called when a team is charged: with an estimate when a ticket is granted, and with its
   * correction when the request ends.
   *
   * @param service the service
   * @param team the team
   * @param cost cost in the service's unit; a correction may be negative
   */
  void charged(ServiceId service, TeamId team, double cost);

  /**
   * Called when a granted request ended.
   *
   * @param service the service
   * @param team the team
   * @param cost measured cost in the service's unit, 0 if the request did no work
   */
  void ended(ServiceId service, TeamId team, double cost);

  /**
   * Returns a listener that ignores all calls.
   *
   * @return the listener
   */
  static UsageListener none() {
    return new UsageListener() {
      @Override
      public void waited(ServiceId service, TeamId team, long waitNanos) {
        // Ignored.
      }

      @Override
      public void queued(ServiceId service, TeamId team) {
        // Ignored.
      }

      @Override
      public void charged(ServiceId service, TeamId team, double cost) {
        // Ignored.
      }

      @Override
      public void ended(ServiceId service, TeamId team, double cost) {
        // Ignored.
      }
    };
  }
}
