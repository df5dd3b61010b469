package org.dandelionbeam.scheduling;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dandelionbeam.routing.FleetMembers.Member;
import org.dandelionbeam.routing.FleetState;
import org.dandelionbeam.routing.RouterName;
import org.dandelionbeam.routing.ServiceName;
import org.dandelionbeam.routing.UpstreamInstance;
import org.dandelionbeam.routing.UpstreamScope;

/**
 * The upstreams that this router schedules: those assigned to it, and those that other routers have
 * lately asked it to schedule because they can't reach the assigned one. Not thread-safe.
 */
public final class ScheduledUpstreams implements UpstreamScope {
  /** Routers repeat their requests more often while they rely on this router. */
  private static final Duration REQUESTED_MAX_AGE = Duration.ofMillis(1_500);

  /**
   * Time after which the earlier schedulers of a service, or those of another part of the fleet
   * that can be reached again, no longer grant requests, and those that they granted have left the
   * window in which cold upstreams count them.
   */
  private static final Duration HANDOVER_TIME = Duration.ofMillis(2_500);

  private final FleetState fleet;
  private final RouterName self;
  private final Map<Integer, Long> requested = new HashMap<>();
  private final Map<ServiceName, List<UpstreamInstance>> byService = new HashMap<>();
  private final Map<ServiceName, Schedulers> schedulers = new HashMap<>();
  private SchedulerAssignment assignment;
  private SchedulerAssignment holders;
  private long upstreamsRevision = -1;
  private boolean majoritySeen;
  private long majoritySinceNanos;

  private ScheduledUpstreams(FleetState fleet) {
    this.fleet = requireNonNull(fleet, "fleet");
    self = fleet.members().self().name();
    assignment = SchedulerAssignment.of(List.of(fleet.members().self()));
    holders = assignment;
  }

  /**
   * Returns the upstreams of a router that knows no other router.
   *
   * @param fleet state of the fleet
   * @return the upstreams
   */
  public static ScheduledUpstreams of(FleetState fleet) {
    return new ScheduledUpstreams(fleet);
  }

  /**
   * Replaces the assignment.
   *
   * @param newAssignment assignment of upstreams to the available routers
   */
  public void assign(SchedulerAssignment newAssignment) {
    requireNonNull(newAssignment, "newAssignment");
    if (newAssignment != assignment) {
      assignment = newAssignment;
      byService.clear();
    }
  }

  /**
   * Takes over changes of the available routers, on which it depends who may use the limits that
   * upstreams name. A scheduler that others only avoid, since it answers late, may still use them.
   *
   * @param nowNanos monotonic time
   */
  public void refreshHolders(long nowNanos) {
    List<Member> available =
        fleet.members().available(nowNanos).stream()
            .sorted(Comparator.comparing(Member::name))
            .toList();
    if (!available.equals(holders.members())) {
      holders = SchedulerAssignment.of(available);
    }
  }

  /**
   * Records that a router asks this one to schedule an upstream.
   *
   * @param upstream number of the upstream
   * @param nowNanos monotonic time
   */
  public void request(int upstream, long nowNanos) {
    if (requested.put(upstream, nowNanos) == null) {
      byService.clear();
    }
  }

  /**
   * Forgets the upstreams that no router has asked for lately, and notes since when this router
   * sees a majority; to be called several times a second.
   *
   * @param nowNanos monotonic time
   */
  public void expire(long nowNanos) {
    boolean seesMajority = seesMajority(nowNanos);
    if (seesMajority && !majoritySeen) {
      majoritySinceNanos = nowNanos;
    }
    majoritySeen = seesMajority;
    if (requested.values().removeIf(at -> nowNanos - at > REQUESTED_MAX_AGE.toNanos())) {
      byService.clear();
    }
  }

  @Override
  public List<UpstreamInstance> upstreams(ServiceName service) {
    if (fleet.upstreams().revision() != upstreamsRevision) {
      upstreamsRevision = fleet.upstreams().revision();
      byService.clear();
    }
    return byService.computeIfAbsent(service, this::find);
  }

  private List<UpstreamInstance> find(ServiceName service) {
    List<UpstreamInstance> usable = fleet.upstreams().usable(service);
    recordSchedulers(service, usable.size());
    return usable.stream()
        .filter(
            upstream ->
                isAssigned(upstream, usable.size()) || requested.containsKey(upstream.number()))
        .toList();
  }

  private boolean isAssigned(UpstreamInstance upstream, int upstreamCount) {
    return assignment.schedulerOf(upstream, upstreamCount).name().equals(self);
  }

  private void recordSchedulers(ServiceName service, int upstreamCount) {
    List<RouterName> names =
        assignment.schedulers(service, upstreamCount).stream().map(Member::name).toList();
    Schedulers known = schedulers.get(service);
    if (known == null || !known.names.equals(names)) {
      schedulers.put(service, new Schedulers(names, fleet.nowNanos()));
    }
  }

  /**
   * Returns the upstreams of a service that are assigned to this router.
   *
   * @param service the service
   * @return the upstreams in no particular order
   */
  public List<UpstreamInstance> assigned(ServiceName service) {
    int count = fleet.upstreams().usable(service).size();
    return upstreams(service).stream().filter(upstream -> isAssigned(upstream, count)).toList();
  }

  @Override
  public boolean mayUseWhileCold(UpstreamInstance upstream, long nowNanos) {
    int count = fleet.upstreams().usable(upstream.service()).size();
    Schedulers known = schedulers.get(upstream.service());
    return known != null
        && nowNanos - known.sinceNanos >= HANDOVER_TIME.toNanos()
        && fleet.hasRunFor(HANDOVER_TIME)
        && isAssigned(upstream, count)
        && seesMajority(nowNanos)
        && majoritySeen
        && nowNanos - majoritySinceNanos >= HANDOVER_TIME.toNanos();
  }

  @Override
  public boolean mayUseWhileLimited(UpstreamInstance upstream) {
    int count = fleet.upstreams().usable(upstream.service()).size();
    return holders.schedulerOf(upstream, count).name().equals(self);
  }

  /**
   * Tells whether more than half of the registered routers are available. Of the parts of a fleet
   * that can't reach each other, at most one sees so many.
   */
  private boolean seesMajority(long nowNanos) {
    return 2 * fleet.members().available(nowNanos).size() > fleet.members().all().size();
  }

  /** The schedulers of a service and the time since which they are the same. */
  private record Schedulers(List<RouterName> names, long sinceNanos) {}
}
