package org.dandelionbeam.scheduling;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dandelionbeam.membership.Rendezvous;
import org.dandelionbeam.routing.FleetMembers.Member;
import org.dandelionbeam.routing.ServiceName;
import org.dandelionbeam.routing.UpstreamInstance;

/**
 * Assigns each upstream to the router that schedules its requests, by rendezvous hashing.
 *
 * <p>Each service has as few schedulers as can carry its load, since a scheduler decides better the
 * more upstreams it knows. Not thread-safe.
 */
public final class SchedulerAssignment {
  /** Upstreams that one router can schedule beside its other work. */
  private static final int UPSTREAMS_PER_SCHEDULER = 10;

  private final List<Member> members;
  private final Map<ServiceName, List<Member>> ranked = new HashMap<>();

  private SchedulerAssignment(Collection<Member> members) {
    this.members = List.copyOf(members);
  }

  /**
   * Returns the assignment to the given routers.
   *
   * @param members available routers, at least one
   * @return the assignment
   */
  public static SchedulerAssignment of(Collection<Member> members) {
    return new SchedulerAssignment(members);
  }

  /**
   * Returns the routers that upstreams are assigned to.
   *
   * @return the available routers
   */
  public List<Member> members() {
    return members;
  }

  /**
   * Returns the router that schedules an upstream.
   *
   * @param upstream the upstream
   * @param upstreamCount number of upstreams of its service
   * @return the scheduler
   */
  public Member schedulerOf(UpstreamInstance upstream, int upstreamCount) {
    return schedulers(upstream.service(), upstreamCount).stream()
        .max(Comparator.comparingDouble(member -> score(upstream.number(), member, 1)))
        .orElseThrow();
  }

  /**
   * Returns the routers that schedule the upstreams of a service.
   *
   * @param service the service
   * @param upstreamCount number of its upstreams
   * @return one router or more
   */
  public List<Member> schedulers(ServiceName service, int upstreamCount) {
    int count = (upstreamCount + UPSTREAMS_PER_SCHEDULER - 1) / UPSTREAMS_PER_SCHEDULER;
    List<Member> all = ranked.computeIfAbsent(service, this::rank);
    return all.subList(0, Math.min(all.size(), Math.max(1, count)));
  }

  private List<Member> rank(ServiceName service) {
    long key = Rendezvous.key(service.text());
    Comparator<Member> byScore =
        Comparator.comparingDouble(member -> score(key, member, member.capacity()));
    return members.stream().sorted(byScore.reversed().thenComparing(Member::name)).toList();
  }

  private static double score(long key, Member member, double weight) {
    return Rendezvous.score(key, Rendezvous.key(member.name().text()), weight);
  }
}
