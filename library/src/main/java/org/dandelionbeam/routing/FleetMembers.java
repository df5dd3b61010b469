package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dandelionbeam.base.FailureDomain;

/**
 * The routers of the fleet: those registered in the store, and which of them are available.
 *
 * <p>A registration only gives the addresses of a router. Reports, its own or those that sum up the
 * reports of many, show that it is alive and accepts requests. Not thread-safe.
 */
public final class FleetMembers {
  private final Member self;
  private final Map<Integer, TrackedMember> others = new HashMap<>();
  private boolean listed;
  private boolean serving = true;
  private long revision;

  private FleetMembers(Member self) {
    this.self = requireNonNull(self, "self");
  }

  /**
   * Creates a fleet that consists of this router only.
   *
   * @param self registration of this router
   * @return the members
   */
  public static FleetMembers of(Member self) {
    return new FleetMembers(self);
  }

  /**
   * A router of the fleet.
   *
   * @param name name of the router
   * @param callers address that callers connect to
   * @param peers address that other routers send messages to
   * @param domain failure domain that it runs in
   * @param incarnation number that grows with each start
   * @param capacity processor capacity of its VM, in cores
   */
  public record Member(
      RouterName name,
      Endpoint callers,
      Endpoint peers,
      FailureDomain domain,
      long incarnation,
      double capacity) {}

  /** Kind of report that told of a router last. */
  public enum Source {
    /** No report has told of it. */
    NONE,
    /** Its own report. */
    OWN_REPORT,
    /** A report of the relay of its failure domain. */
    RELAY_REPORT,
    /** A report on the whole fleet. */
    FLEET_REPORT
  }

  /**
   * What is known of the availability of a router.
   *
   * @param available whether it is alive and accepts requests
   * @param registered whether its registration is in the store
   * @param source kind of report that told of it last
   * @param age time since that report, or since its registration became known
   */
  public record Availability(boolean available, boolean registered, Source source, Duration age) {}

  /**
   * Returns the registration of this router.
   *
   * @return the registration
   */
  public Member self() {
    return self;
  }

  /**
   * Sets whether this router accepts requests.
   *
   * @param isServing false before it has a configuration and while it drains
   */
  public void serving(boolean isServing) {
    serving = isServing;
  }

  /**
   * Tells whether the registrations of the store were read.
   *
   * @return true after the first listing
   */
  public boolean isListed() {
    return listed;
  }

  /**
   * Records the registration of a router, unless a newer one is known.
   *
   * @param member the registration
   * @param nowNanos monotonic time
   */
  public void recordRegistration(Member member, long nowNanos) {
    if (member.name().equals(self.name())) {
      return;
    }
    TrackedMember known = others.get(member.name().number());
    if (known == null || known.member().incarnation() < member.incarnation()) {
      track(member, true, nowNanos);
    } else if (known.member().incarnation() == member.incarnation()) {
      revision += known.member().equals(member) ? 0 : 1;
      known.register(member);
    }
  }

  private TrackedMember track(Member member, boolean registered, long nowNanos) {
    TrackedMember tracked = new TrackedMember(member, registered, nowNanos);
    others.put(member.name().number(), tracked);
    revision++;
    return tracked;
  }

  /**
   * Records all registrations of the store, and removes the routers that it lacks unless they are
   * available.
   *
   * @param members registrations of all routers
   * @param nowNanos monotonic time
   */
  public void listed(Collection<Member> members, long nowNanos) {
    listed = true;
    others.values().forEach(known -> known.unregister());
    members.forEach(member -> recordRegistration(member, nowNanos));
    removeUnregistered(nowNanos);
  }

  /**
   * Removes a router whose registration is gone, unless it is available.
   *
   * @param name name of the router
   * @param nowNanos monotonic time
   */
  public void removeRegistration(RouterName name, long nowNanos) {
    TrackedMember known = others.get(name.number());
    if (known != null) {
      known.unregister();
      removeUnregistered(nowNanos);
    }
  }

  /**
   * Removes the routers that are neither registered nor available.
   *
   * @param nowNanos monotonic time
   */
  public void removeUnregistered(long nowNanos) {
    boolean removed =
        others.values().removeIf(known -> !known.isRegistered() && !known.isPresent(nowNanos));
    revision += removed ? 1 : 0;
  }

  /**
   * Returns a number that changes with the known routers.
   *
   * @return the same number as long as {@link #all} returns the same routers
   */
  public long revision() {
    return revision;
  }

  /**
   * Records a report that a router sent itself.
   *
   * @param member registration that the report contains
   * @param serving whether the router accepts requests
   * @param nowNanos monotonic time
   */
  public void recordReport(Member member, boolean serving, long nowNanos) {
    TrackedMember known = others.get(member.name().number());
    if (known == null) {
      known = track(member, false, nowNanos);
    } else if (known.member().incarnation() < member.incarnation()) {
      known = track(member, known.isRegistered(), nowNanos);
    }
    if (known.member().incarnation() == member.incarnation()) {
      known.recordPresent(serving, Source.OWN_REPORT, nowNanos);
    }
  }

  /**
   * Records that another router has lately heard from a router.
   *
   * @param number number of the router that was heard
   * @param serving whether it accepts requests
   * @param nowNanos monotonic time
   */
  public void recordPresent(int number, boolean serving, long nowNanos) {
    TrackedMember known = others.get(number);
    if (known != null) {
      known.recordPresent(serving, Source.RELAY_REPORT, nowNanos);
    }
  }

  /**
   * Records a report on the whole fleet. Its sender may not know all routers that this one knows;
   * of those that it doesn't mention, the report says nothing.
   *
   * @param available numbers of the routers that its sender knows to be available
   * @param unavailable numbers of the routers that its sender knows not to be
   * @param nowNanos monotonic time
   */
  public void recordFleetReport(Set<Integer> available, Set<Integer> unavailable, long nowNanos) {
    others.forEach(
        (number, known) -> {
          if (available.contains(number)) {
            known.recordPresent(true, Source.FLEET_REPORT, nowNanos);
          } else if (unavailable.contains(number)) {
            known.recordAbsent(nowNanos);
          }
        });
  }

  /**
   * Tells whether a router is alive and accepts requests.
   *
   * @param number number of the router
   * @param nowNanos monotonic time
   * @return true if a recent report says so
   */
  public boolean isAvailable(int number, long nowNanos) {
    if (number == self.name().number()) {
      return serving;
    }
    TrackedMember known = others.get(number);
    return known != null && known.isAvailable(nowNanos);
  }

  /**
   * Returns the routers that are alive and accept requests.
   *
   * @param nowNanos monotonic time
   * @return the routers; only this one if no other is available, whether it accepts requests or not
   */
  public List<Member> available(long nowNanos) {
    List<Member> available = new ArrayList<>();
    for (TrackedMember known : others.values()) {
      if (known.isAvailable(nowNanos)) {
        available.add(known.member());
      }
    }
    if (serving || available.isEmpty()) {
      available.add(self);
    }
    return available;
  }

  /**
   * Returns the numbers of the routers that are alive and accept requests.
   *
   * @param nowNanos monotonic time
   * @return numbers of {@link #available}, without this router if it accepts no requests
   */
  public Set<Integer> availableNumbers(long nowNanos) {
    Set<Integer> available = new HashSet<>();
    others.forEach(
        (number, known) -> {
          if (known.isAvailable(nowNanos)) {
            available.add(number);
          }
        });
    if (serving) {
      available.add(self.name().number());
    }
    return available;
  }

  /**
   * Tells whether a router is known not to be available.
   *
   * @param number number of the router
   * @param nowNanos monotonic time
   * @return true if it is in {@link #unavailable}
   */
  public boolean isUnavailable(int number, long nowNanos) {
    TrackedMember known = others.get(number);
    return known != null && known.isUnavailable(nowNanos);
  }

  /**
   * Returns the available routers of which their own reports or those of the relays of their
   * failure domains have told lately.
   *
   * <p>A router may tell others of these. What it has from a report on the whole fleet it must not
   * pass on as its own knowledge, or the evidence would become newer with each router that does.
   *
   * @param sinceNanos earliest time of the reports
   * @param nowNanos monotonic time
   * @return their numbers, with that of this router if it accepts requests
   */
  public Set<Integer> reportedAvailable(long sinceNanos, long nowNanos) {
    Set<Integer> reported = new HashSet<>();
    others.forEach(
        (number, known) -> {
          if (known.isAvailable(nowNanos) && known.wasReportedSince(sinceNanos)) {
            reported.add(number);
          }
        });
    if (serving) {
      reported.add(self.name().number());
    }
    return reported;
  }

  /**
   * Records that this process stood still: that it has heard nothing of a router since then doesn't
   * show that the router is not available.
   *
   * @param nowNanos monotonic time
   */
  public void recordPause(long nowNanos) {
    others.values().forEach(known -> known.expectReport(nowNanos));
  }

  /**
   * Returns the known routers that are not available, without those of which no report could arrive
   * yet since they registered or since this process stood still.
   *
   * @param nowNanos monotonic time
   * @return numbers of the routers
   */
  public Set<Integer> unavailable(long nowNanos) {
    Set<Integer> unavailable = new HashSet<>();
    others.forEach(
        (number, known) -> {
          if (known.isUnavailable(nowNanos)) {
            unavailable.add(number);
          }
        });
    return unavailable;
  }

  /**
   * Returns all known routers, available or not.
   *
   * @return the routers, with this one
   */
  public List<Member> all() {
    List<Member> all = new ArrayList<>();
    all.add(self);
    others.values().forEach(known -> all.add(known.member()));
    return all;
  }

  /**
   * Returns a known router.
   *
   * @param name name of the router
   * @return the router, empty if it is not known
   */
  public Optional<Member> find(RouterName name) {
    return name.equals(self.name())
        ? Optional.of(self)
        : Optional.ofNullable(others.get(name.number())).map(TrackedMember::member);
  }

  /**
   * Returns what is known of the availability of all other routers.
   *
   * @param nowNanos monotonic time
   * @return availability by name of the router
   */
  public Map<RouterName, Availability> availability(long nowNanos) {
    Map<RouterName, Availability> availability = new HashMap<>();
    others
        .values()
        .forEach(known -> availability.put(known.member().name(), known.availability(nowNanos)));
    return availability;
  }
}
