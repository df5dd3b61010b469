package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.dandelionbeam.routing.FleetMembers.Availability;

/** Finds the routers that became available or unavailable, for the log. Not thread-safe. */
public final class AvailabilityMonitor {
  private final FleetMembers members;
  private Map<RouterName, Availability> last = Map.of();

  private AvailabilityMonitor(FleetMembers members) {
    this.members = requireNonNull(members, "members");
  }

  /**
   * Creates a monitor to which no router is available yet.
   *
   * @param members the routers of the fleet
   * @return the monitor
   */
  public static AvailabilityMonitor of(FleetMembers members) {
    return new AvailabilityMonitor(members);
  }

  /**
   * A router that became available or unavailable.
   *
   * @param router name of the router
   * @param availability what is known of it now
   */
  public record Change(RouterName router, Availability availability) {

    @Override
    public String toString() {
      return router
          + " source="
          + availability.source()
          + " age_ms="
          + availability.age().toMillis()
          + " registered="
          + availability.registered();
    }
  }

  /**
   * Returns the changes since the last call.
   *
   * @param nowNanos monotonic time
   * @return routers that became available or unavailable, without those that are no longer known
   */
  public List<Change> changes(long nowNanos) {
    Map<RouterName, Availability> current = members.availability(nowNanos);
    List<Change> changes = new ArrayList<>();
    current.forEach(
        (router, availability) -> {
          Availability before = last.get(router);
          boolean wasAvailable = before != null && before.available();
          if (wasAvailable != availability.available()) {
            changes.add(new Change(router, availability));
          }
        });
    last = current;
    return changes;
  }
}
