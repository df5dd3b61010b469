package org.dandelionbeam.summary;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dandelionbeam.routing.DepartureReport;
import org.dandelionbeam.routing.FleetCounters;
import org.dandelionbeam.routing.FleetMembers.Member;
import org.dandelionbeam.routing.RateLimits;
import org.dandelionbeam.routing.RouterName;
import org.dandelionbeam.routing.StoreVersions;
import org.dandelionbeam.routing.Suspect;

/** Message between routers by which they learn the state of the fleet. */
public sealed interface SummaryMessage {

  /**
   * Returns the upstreams that leave or are gone.
   *
   * @return departures that other routers may not know yet
   */
  DepartureReport departures();

  /**
   * Returns what the sender blames for crashes.
   *
   * @return time until the blame ends, by suspect
   */
  Map<Suspect, Duration> blamed();

  /**
   * Returns the rate limits that upstreams have named.
   *
   * @return limits by number of the upstream
   */
  Map<Integer, RateLimits.Reported> limits();

  /**
   * Returns versions of the data in the store.
   *
   * @return the newest that the sender knows of
   */
  StoreVersions versions();

  /**
   * State of one router, sent to the relay of its failure domain.
   *
   * @param sender registration of the router
   * @param sequence number that grows with each report of this start of the router
   * @param serving whether it accepts requests
   * @param availableDigest digest of the routers that it takes for available
   * @param departures upstreams that it knows to leave or to be gone
   * @param blamed time until the blame ends, by what it blames for crashes
   * @param limits rate limits that upstreams have named, by number of the upstream
   * @param versions versions of the data that it has read from the store
   * @param counters its own part of the sums
   */
  record RouterReport(
      Member sender,
      long sequence,
      boolean serving,
      long availableDigest,
      DepartureReport departures,
      Map<Suspect, Duration> blamed,
      Map<Integer, RateLimits.Reported> limits,
      StoreVersions versions,
      FleetCounters counters)
      implements SummaryMessage {
    /** Copies the collections. */
    public RouterReport {
      requireNonNull(sender, "sender");
      requireNonNull(departures, "departures");
      blamed = Map.copyOf(blamed);
      limits = Map.copyOf(limits);
    }
  }

  /**
   * Sum over the routers that report to one relay, sent to other relays.
   *
   * @param relay name of the relay
   * @param serving numbers of the routers that report to it and accept requests
   * @param leaving numbers of the routers that report to it and accept no requests
   * @param readsStore whether the relay itself can read the store
   * @param departures upstreams that the relay knows to leave or to be gone
   * @param blamed what the relay blames, as in a router's report
   * @param limits rate limits that the relay knows, as in a router's report
   * @param versions newest versions that any of these routers has read
   * @param counters sum of the counters of these routers
   */
  record RelayReport(
      RouterName relay,
      Set<Integer> serving,
      Set<Integer> leaving,
      boolean readsStore,
      DepartureReport departures,
      Map<Suspect, Duration> blamed,
      Map<Integer, RateLimits.Reported> limits,
      StoreVersions versions,
      FleetCounters counters)
      implements SummaryMessage {
    /** Copies the collections. */
    public RelayReport {
      requireNonNull(relay, "relay");
      serving = Set.copyOf(serving);
      leaving = Set.copyOf(leaving);
      requireNonNull(departures, "departures");
      blamed = Map.copyOf(blamed);
      limits = Map.copyOf(limits);
    }
  }

  /**
   * State of the whole fleet, sent by a relay to the routers that report to it.
   *
   * @param relay name of the relay
   * @param sequence number of the receiver's last report, which the sums contain
   * @param available numbers of the available routers, empty if they are those that the receiver
   *     took for available in that report
   * @param unavailable numbers of the registered routers that are not available
   * @param readsStore whether any relay can read the store
   * @param departures upstreams that the relay knows to leave or to be gone
   * @param blamed what the relay blames, as in a router's report
   * @param limits rate limits that the relay knows, as in a router's report
   * @param versions newest versions that any router has read
   * @param counters sum of the counters of all routers
   */
  record FleetReport(
      RouterName relay,
      long sequence,
      Optional<Set<Integer>> available,
      Set<Integer> unavailable,
      boolean readsStore,
      DepartureReport departures,
      Map<Suspect, Duration> blamed,
      Map<Integer, RateLimits.Reported> limits,
      StoreVersions versions,
      FleetCounters counters)
      implements SummaryMessage {
    /** Copies the collections. */
    public FleetReport {
      requireNonNull(relay, "relay");
      available = available.map(Set::copyOf);
      unavailable = Set.copyOf(unavailable);
      requireNonNull(departures, "departures");
      blamed = Map.copyOf(blamed);
      limits = Map.copyOf(limits);
    }
  }
}
