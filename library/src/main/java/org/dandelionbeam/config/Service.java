package org.dandelionbeam.config;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.dandelionbeam.base.ServiceId;

/**
 * Service that upstreams offer.
 *
 * @param id number of the service
 * @param name name of the service, used in paths
 * @param type how its upstreams are spoken to
 * @param costUnit unit of its requests' cost
 * @param kinds its kinds of request; the first that matches counts
 * @param deadline longest time from a request to the end of its answer
 */
public record Service(
    ServiceId id,
    String name,
    ServiceType type,
    CostUnit costUnit,
    List<RequestKind> kinds,
    Duration deadline) {

  /** Copies the list. */
  public Service {
    requireNonNull(id, "id");
    requireNonNull(name, "name");
    requireNonNull(type, "type");
    requireNonNull(costUnit, "costUnit");
    kinds = List.copyOf(kinds);
    requireNonNull(deadline, "deadline");
  }

  /**
   * Makes a service with the default deadline.
   *
   * @param id number of the service
   * @param name name of the service, used in paths
   * @param type how its upstreams are spoken to
   * @param costUnit unit of its requests' cost
   * @param kinds its kinds of request; the first that matches counts
   */
  public Service(
      ServiceId id, String name, ServiceType type, CostUnit costUnit, List<RequestKind> kinds) {
    this(id, name, type, costUnit, kinds, Limits.defaults().requestDeadline());
  }

  /**
   * Finds the kind of a request.
   *
   * @param method HTTP method
   * @param path path below the service, without query
   * @return index of the first kind that matches, empty if none does
   */
  public OptionalInt kindOf(String method, String path) {
    for (int i = 0; i < kinds.size(); i++) {
      if (kinds.get(i).matches(method, path)) {
        return OptionalInt.of(i);
      }
    }
    return OptionalInt.empty();
  }
}
