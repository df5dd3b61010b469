package org.dandelionbeam.config;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import org.dandelionbeam.base.ServiceId;

/**
 * Service offered by a set of upstreams.
 *
 * @param id numeric id of the service
 * @param name name of the service, used in request paths
 * @param type protocol of its upstreams
 * @param costUnit unit in which the cost of its requests is measured
 * @param kinds kinds of request, in order of precedence; the first match applies
 * @param deadline maximum time from a request to the end of its response
 */
public record Service(
    ServiceId id,
    String name,
    ServiceType type,
    CostUnit costUnit,
    List<RequestKind> kinds,
    Duration deadline) {

  /** Copies the list and requires all components. */
  public Service {
    requireNonNull(id, "id");
    requireNonNull(name, "name");
    requireNonNull(type, "type");
    requireNonNull(costUnit, "costUnit");
    kinds = List.copyOf(kinds);
    requireNonNull(deadline, "deadline");
  }

  /**
   * Creates a service with the default deadline.
   *
   * @param id numeric id of the service
   * @param name name of the service, used in request paths
   * @param type protocol of its upstreams
   * @param costUnit unit in which the cost of its requests is measured
   * @param kinds kinds of request, in order of precedence; the first match applies
   */
  public Service(
      ServiceId id, String name, ServiceType type, CostUnit costUnit, List<RequestKind> kinds) {
    this(id, name, type, costUnit, kinds, Limits.defaults().requestDeadline());
  }

  /**
   * Finds the kind of a request.
   *
   * @param method HTTP method
   * @param path path below the service, without the query
   * @return index of the first matching kind, empty if none matches
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
