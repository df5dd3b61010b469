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
 * The routers of the fleet: who is registered in the store, and who was heard lately.
 *
 * <p>Registrations tell where routers are; only their own reports tell that they live. Not
 * thread-safe.
 */
public final class FleetMembers {
  /** Reports come several times a second; so long a silence is a crash, a freeze or a cut. */
  private static final Duration LIVENESS_TIMEOUT = Duration.ofMillis(1_500);

  /** A router that was heard within this time may still hold its part of the limits. */
  private static final Duration LIMIT_SHARE_TIMEOUT = Duration.ofSeconds(12);

  /** Before it has heard of its peers, a router assumes that its fleet has this size. */
  private static final int INITIAL_LIMIT_SHARERS = 3;

  private final Member self;
  private final Map<RouterName, Tracked> others = new HashMap<>();
  private boolean listed;

  private FleetMembers(Member self) {
    this.self = requireNonNull(self, "self");
  }

  /**
   * Returns a fleet of one router.
   *
   * @param self this router
   * @return the members
   */
  public static FleetMembers of(Member self) {
    return new FleetMembers(self);
  }

  /**
   * A router of the fleet.
   *
   * @param name its name
   * @param callers address that callers connect to
   * @param peers address that other routers send reports to
   * @param domain failure domain that it runs in
   * @param incarnation grows with each start
   */
  public record Member(
      RouterName name, Endpoint callers, Endpoint peers, FailureDomain domain, long incarnation) {}

  /**
   * Returns this router.
   *
   * @return its own registration
   */
  public Member self() {
    return self;
  }

  /**
   * Takes a registration.
   *
   * @param member the router
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
   * Takes the whole list of registrations.
   *
   * @param members all registered routers
   */
  public void listed(Collection<Member> members) {
    listed = true;
    members.forEach(this::recordRegistration);
  }

  /**
   * Takes a report of another router.
   *
   * @param member the router as it describes itself
   * @param serving whether it takes requests
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
   * Notes that a registration is gone.
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
   * Returns the addresses of the routers that take requests.
   *
   * @param selfServing whether this router takes requests
   * @param nowNanos monotonic time
   * @return addresses for callers
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
   * Returns the routers to send reports to.
   *
   * @return all known routers but this one
   */
  public List<Member> peers() {
    return others.values().stream().map(known -> known.member).toList();
  }

  /**
   * Counts the routers that may hold a part of the limits over all routers.
   *
   * @param nowNanos monotonic time
   * @return 1 or more, with this router
   */
  public int countLimitSharers(long nowNanos) {
    int heard =
        (int)
            others.values().stream()
                .filter(
                    known ->
                        !known.everHeard || known.wasHeardWithin(nowNanos, LIMIT_SHARE_TIMEOUT))
                .count();
    return listed ? heard + 1 : Math.max(INITIAL_LIMIT_SHARERS, heard + 1);
  }

  /** A router with what was heard of it. */
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
