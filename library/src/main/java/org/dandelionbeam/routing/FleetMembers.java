package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dandelionbeam.base.FailureDomain;

/**
 * The routers of the fleet: those registered in the store, and those that sent a report lately.
 *
 * <p>A registration only gives the addresses of a router; its own reports show that it is alive.
 * Not thread-safe.
 */
public final class FleetMembers {
  /**
   * Routers report several times a second; one that was silent for this time has crashed, is frozen
   * or is cut off.
   */
  private static final Duration LIVENESS_TIMEOUT = Duration.ofMillis(1_500);

  /** A router that reported within this time may still use its share of the limits. */
  private static final Duration LIMIT_SHARE_TIMEOUT = Duration.ofSeconds(12);

  /** Fleet size that a router assumes until it has listed the registrations. */
  private static final int INITIAL_LIMIT_SHARERS = 3;

  private final Member self;
  private final Map<RouterName, Tracked> others = new HashMap<>();
  private boolean listed;

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
   * @param peers address that other routers send reports to
   * @param domain failure domain that it runs in
   * @param incarnation number that grows with each start
   */
  public record Member(
      RouterName name, Endpoint callers, Endpoint peers, FailureDomain domain, long incarnation) {}

  /**
   * Returns the registration of this router.
   *
   * @return the registration
   */
  public Member self() {
    return self;
  }

  /**
   * Records the registration of a router, unless a newer one is known.
   *
   * @param member the registration
   */
  public void recordRegistration(Member member) {
    if (member.name().equals(self.name())) {
      return;
    }
    Tracked known = others.get(member.name());
    if (known == null) {
      others.put(member.name(), new Tracked(member));
    } else if (known.member.incarnation() <= member.incarnation()) {
      known.member = member;
    }
  }

  /**
   * Records all registrations of the store.
   *
   * @param members registrations of all routers
   */
  public void listed(Collection<Member> members) {
    listed = true;
    members.forEach(this::recordRegistration);
  }

  /**
   * Records a report of another router.
   *
   * @param member registration that the report contains
   * @param serving whether the router accepts requests
   * @param nowNanos monotonic time
   */
  public void recordReport(Member member, boolean serving, long nowNanos) {
    recordRegistration(member);
    Tracked known = others.get(member.name());
    if (known != null && known.member.incarnation() == member.incarnation()) {
      known.lastHeardNanos = nowNanos;
      known.everHeard = true;
      known.serving = serving;
    }
  }

  /**
   * Removes a router whose registration is gone, unless it still sends reports.
   *
   * @param name name of the router
   * @param nowNanos monotonic time
   */
  public void removeRegistration(RouterName name, long nowNanos) {
    Tracked known = others.get(name);
    if (known != null && !known.wasHeardWithin(nowNanos, LIVENESS_TIMEOUT)) {
      others.remove(name);
    }
  }

  /**
   * Returns the addresses of the routers that accept requests.
   *
   * @param selfServing whether this router accepts requests
   * @param nowNanos monotonic time
   * @return addresses that callers connect to
   */
  public List<Endpoint> servingAddresses(boolean selfServing, long nowNanos) {
    List<Endpoint> addresses = new ArrayList<>();
    if (selfServing) {
      addresses.add(self.callers());
    }
    for (Tracked known : others.values()) {
      if (known.serving && known.wasHeardWithin(nowNanos, LIVENESS_TIMEOUT)) {
        addresses.add(known.member.callers());
      }
    }
    return addresses;
  }

  /**
   * Returns the routers that reports are sent to.
   *
   * @return all known routers but this one
   */
  public List<Member> peers() {
    return others.values().stream().map(known -> known.member).toList();
  }

  /**
   * Counts the routers that may use a share of the limits for all routers together.
   *
   * @param nowNanos monotonic time
   * @return the number of routers, this one included
   */
  public int countLimitSharers(long nowNanos) {
    int active =
        (int)
            others.values().stream()
                .filter(
                    known ->
                        !known.everHeard || known.wasHeardWithin(nowNanos, LIMIT_SHARE_TIMEOUT))
                .count();
    return listed ? active + 1 : Math.max(INITIAL_LIMIT_SHARERS, active + 1);
  }

  /** A router with the state of its reports. */
  private static final class Tracked {
    private Member member;
    private long lastHeardNanos;
    private boolean everHeard;
    private boolean serving;

    Tracked(Member member) {
      this.member = member;
    }

    boolean wasHeardWithin(long nowNanos, Duration within) {
      return everHeard && nowNanos - lastHeardNanos <= within.toNanos();
    }
  }
}
