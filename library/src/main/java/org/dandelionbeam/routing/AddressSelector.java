package org.dandelionbeam.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.routing.FleetMembers.Member;

/**
 * Selects the routers that callers of a failure domain connect to.
 *
 * <p>As few routers as carry the load with ample reserve, those of the callers' own domain first:
 * then connections to upstreams are used often, and routers with much capacity get most requests.
 */
public final class AddressSelector {
  /** Most addresses that callers accept in one answer. */
  private static final int MAX_ADDRESSES = 64;

  /** Callers need other addresses to turn to when a router fails. */
  private static final int MIN_ADDRESSES = 3;

  /** Processor time of a router for one request, in seconds of one core. */
  private static final double CORE_SECONDS_PER_REQUEST = 0.002;

  /** Part of their capacity that the selected routers use at the current request rate. */
  private static final double TARGET_UTILIZATION = 0.25;

  /** Part of the fleet's requests that may come from one failure domain. */
  private static final double MAX_DOMAIN_SHARE = 0.6;

  private AddressSelector() {}

  /**
   * Selects routers.
   *
   * @param available routers that accept requests
   * @param callers failure domain of the callers
   * @param requestsPerSecond requests of the whole fleet
   * @return addresses for callers; empty only if no router is available
   */
  public static List<Endpoint> select(
      Collection<Member> available, FailureDomain callers, double requestsPerSecond) {
    double neededCores =
        requestsPerSecond * MAX_DOMAIN_SHARE * CORE_SECONDS_PER_REQUEST / TARGET_UTILIZATION;
    Comparator<Member> order =
        Comparator.comparing((Member member) -> !member.domain().equals(callers))
            .thenComparing(Comparator.comparingDouble(Member::capacity).reversed())
            .thenComparing(Member::name);
    List<Endpoint> selected = new ArrayList<>();
    double cores = 0;
    for (Member member : available.stream().sorted(order).toList()) {
      boolean enough = selected.size() >= MIN_ADDRESSES && cores >= neededCores;
      if (enough || selected.size() >= MAX_ADDRESSES) {
        break;
      }
      selected.add(member.callers());
      cores += member.capacity();
    }
    return selected;
  }
}
