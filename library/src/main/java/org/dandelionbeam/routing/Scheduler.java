package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dandelionbeam.base.FailureDomain;

/**
 * Decides which request goes to which upstream, which waits and which is refused.
 *
 * <p>Requests that can still meet their objective go first, among them those of the team that got
 * the least service lately. A request that can't be served in time is refused as soon as that is
 * known. Not thread-safe.
 */
public final class Scheduler {
  /** Part of a caller's patience that a request may wait here; the rest is for its upstream. */
  private static final double MAX_WAIT_SHARE = 0.45;

  /** Service against the mean of all teams above which a team comes after others. */
  private static final double CLEAR_EXCESS = 1.3;

  /** Teams whose service differs by less are equals; twice as much would be unfair. */
  private static final double TIER_FACTOR = 1.5;

  /** What an engine mostly has to read before a request under load, and the way there and back. */
  private static final Duration USUAL_BACKLOG = Duration.ofMillis(120);

  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);
  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(2);

  /** Room for a plain service comes about once in the time that one of its requests takes. */
  private static final Duration PLAIN_SERVICE_TIME = Duration.ofMillis(80);

  private final FleetState fleet;
  private final Placement placement;
  private final Map<ServiceName, List<Ticket>> waiting = new LinkedHashMap<>();

  private Scheduler(FleetState fleet, FailureDomain here) {
    this.fleet = requireNonNull(fleet, "fleet");
    placement = new Placement(fleet, here);
  }

  /**
   * Returns a scheduler without requests.
   *
   * @param fleet what the router believes
   * @param here failure domain that it runs in
   * @return the scheduler
   */
  public static Scheduler of(FleetState fleet, FailureDomain here) {
    return new Scheduler(fleet, here);
  }

  /**
   * Takes a request.
   *
   * @param ticket the request
   * @return what becomes of it; if it waits, a later {@link #poll} decides
   */
  public Decision submit(Ticket ticket) {
    Optional<ServiceSpec> spec = specOf(ticket.service());
    if (spec.isEmpty() || placement.candidates(ticket, fleet.nowNanos()).isEmpty()) {
      return refused(ticket, Decision.RefusalReason.NO_UPSTREAM);
    }
    List<Ticket> queue = waiting.computeIfAbsent(ticket.service(), key -> new ArrayList<>());
    List<Ticket> before = aheadOf(ticket, queue);
    if (before.isEmpty()) {
      Optional<Decision.Granted> granted = place(ticket, spec.get());
      if (granted.isPresent()) {
        return granted.get();
      }
    }
    if (waitNanos(before, ticket.service(), spec.get()) > maxWaitNanos(ticket)) {
      return refused(ticket, Decision.RefusalReason.OVERLOADED);
    }
    queue.add(ticket);
    return new Decision.Waiting(ticket);
  }

  private List<Ticket> aheadOf(Ticket ticket, List<Ticket> queue) {
    Ranked own = ranked(ticket);
    return queue.stream().filter(other -> ranked(other).compareTo(own) < 0).toList();
  }

  /**
   * Decides again on the requests that wait.
   *
   * @return grants and refusals
   */
  public List<Decision> poll() {
    List<Decision> decisions = new ArrayList<>();
    for (Map.Entry<ServiceName, List<Ticket>> entry : waiting.entrySet()) {
      if (!entry.getValue().isEmpty()) {
        pollService(entry.getKey(), entry.getValue(), decisions);
      }
    }
    return decisions;
  }

  private void pollService(ServiceName name, List<Ticket> queue, List<Decision> decisions) {
    Optional<ServiceSpec> spec = specOf(name);
    boolean served = spec.isPresent() && !fleet.upstreams().usable(name).isEmpty();
    for (Ticket ticket : inOrder(queue)) {
      if (!served) {
        queue.remove(ticket);
        decisions.add(refused(ticket, Decision.RefusalReason.NO_UPSTREAM));
        continue;
      }
      Optional<Decision.Granted> granted = place(ticket, spec.get());
      if (granted.isPresent()) {
        queue.remove(ticket);
        decisions.add(granted.get());
      } else if (fleet.nowNanos() - ticket.submittedNanos() > maxWaitNanos(ticket)) {
        queue.remove(ticket);
        decisions.add(refused(ticket, Decision.RefusalReason.WAITED_TOO_LONG));
      }
    }
  }

  private List<Ticket> inOrder(List<Ticket> queue) {
    return queue.stream().map(this::ranked).sorted().map(Ranked::ticket).toList();
  }

  private Ranked ranked(Ticket ticket) {
    long now = fleet.nowNanos();
    return new Ranked(
        ticket,
        excessTier(ticket, now),
        isTooLate(ticket, now),
        fleet.usage().of(ticket.team(), now));
  }

  /** A request with what decides on its place, which is worked out once for all comparisons. */
  private record Ranked(Ticket ticket, int excessTier, boolean tooLate, double teamUsage)
      implements Comparable<Ranked> {
    private static final Comparator<Ranked> ORDER =
        Comparator.comparingInt(Ranked::excessTier)
            .thenComparing(Ranked::tooLate)
            .thenComparingDouble(Ranked::teamUsage)
            .thenComparingLong(ranked -> ranked.ticket.arrivedNanos())
            .thenComparingLong(ranked -> ranked.ticket.number());

    @Override
    public int compareTo(Ranked other) {
      return ORDER.compare(this, other);
    }
  }

  /** Teams that differ much in what they got lately come one after another, late or not. */
  private int excessTier(Ticket ticket, long now) {
    double excess = fleet.usage().relative(ticket.team(), now) / CLEAR_EXCESS;
    return excess <= 1 ? 0 : (int) Math.ceil(Math.log(excess) / Math.log(TIER_FACTOR));
  }

  /** Tells whether the request would miss its objective even if an engine took it at once. */
  private boolean isTooLate(Ticket ticket, long now) {
    long output =
        ticket.shape().isModelRequest()
            ? USUAL_BACKLOG.toNanos()
                + fleet.readRate(ticket.service()).nanosFor(ticket.shape().ownTokens())
            : 0;
    return ticket.objectiveNanos() - output - now < 0;
  }

  private Optional<Decision.Granted> place(Ticket ticket, ServiceSpec spec) {
    Optional<Decision.Granted> choice = placement.choose(ticket, spec, fleet.nowNanos());
    choice.ifPresent(this::granted);
    return choice;
  }

  private void granted(Decision.Granted grant) {
    Ticket ticket = grant.ticket();
    int number = LoadBoard.numberOf(grant.instance());
    fleet.loads().add(number, grant.work());
    fleet.coldPace().sent(grant.instance().id(), fleet.nowNanos());
    fleet.cache().sent(ticket.shape(), number, fleet.nowNanos());
    long cost = ticket.shape().isModelRequest() ? ticket.shape().costTokens() : 1;
    fleet.usage().served(ticket.team(), cost, fleet.nowNanos());
  }

  /**
   * Takes a request back that its caller gave up.
   *
   * @param ticket the request
   */
  public void withdraw(Ticket ticket) {
    List<Ticket> queue = waiting.get(ticket.service());
    if (queue != null) {
      queue.remove(ticket);
    }
  }

  /**
   * Notes the first output of a request.
   *
   * @param grant the grant
   * @param elapsed time since the request was sent
   */
  public void firstOutput(Decision.Granted grant, Duration elapsed) {
    long unread = grant.work().unreadTokens();
    fleet.loads().subtract(LoadBoard.numberOf(grant.instance()), new UpstreamLoad(0, unread, 0));
    if (unread > 0) {
      fleet.readRate(grant.ticket().service()).observed(grant.aheadTokens() + unread, elapsed);
    }
  }

  /**
   * Notes the end of a request at its upstream.
   *
   * @param grant the grant
   * @param outputSeen whether its first output was noted
   */
  public void finished(Decision.Granted grant, boolean outputSeen) {
    UpstreamLoad work = grant.work();
    long unread = outputSeen ? 0 : work.unreadTokens();
    fleet
        .loads()
        .subtract(
            LoadBoard.numberOf(grant.instance()),
            new UpstreamLoad(work.inFlight(), unread, work.memoryTokens()));
  }

  /**
   * Counts the requests that wait.
   *
   * @return the count over all services
   */
  public int waitingCount() {
    return waiting.values().stream().mapToInt(List::size).sum();
  }

  private Decision.Refused refused(Ticket ticket, Decision.RefusalReason reason) {
    List<Ticket> queue = waiting.getOrDefault(ticket.service(), List.of());
    Duration wait =
        specOf(ticket.service())
            .map(spec -> Duration.ofNanos(waitNanos(queue, ticket.service(), spec)))
            .orElse(MIN_RETRY_AFTER);
    Duration atLeast = wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
    Duration bounded = atLeast.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : atLeast;
    return new Decision.Refused(ticket, reason, bounded);
  }

  /** Time until some requests that wait here have been served, with even shares of the routers. */
  private long waitNanos(List<Ticket> queue, ServiceName service, ServiceSpec spec) {
    int routers = fleet.routerCount();
    if (spec.engine().isEmpty()) {
      double slots = Math.max(1, slotsOf(service)) / (double) routers;
      return (long) (queue.size() * PLAIN_SERVICE_TIME.toNanos() / slots);
    }
    double engines = Math.max(1, fleet.upstreams().usable(service).size()) / (double) routers;
    long tokens = queue.stream().mapToLong(ticket -> ticket.shape().ownTokens()).sum();
    return (long) (fleet.readRate(service).nanosFor(tokens) / engines);
  }

  private int slotsOf(ServiceName service) {
    return fleet.upstreams().usable(service).stream().mapToInt(UpstreamInstance::slots).sum();
  }

  private static long maxWaitNanos(Ticket ticket) {
    return (long) (MAX_WAIT_SHARE * ticket.patienceNanos());
  }

  private Optional<ServiceSpec> specOf(ServiceName name) {
    return fleet.table().flatMap(table -> table.service(name));
  }
}
