package org.dandelionbeam.dispatch;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.dispatch.DispatchPort.Completion;
import org.dandelionbeam.dispatch.DispatchPort.Grant;
import org.dandelionbeam.dispatch.DispatchPort.Listener;
import org.dandelionbeam.dispatch.DispatchPort.Refusal;
import org.dandelionbeam.membership.Ownership;

/**
 * Entry side of dispatch: keeps each ticket until it is answered, and sends it to owners of
 * suitable upstreams.
 *
 * <p>A ticket may wait at several owners. The first grant is used and the other placements are
 * withdrawn. A grant that arrives later is withdrawn as well, so that one ticket never uses two
 * grants.
 */
public final class EntryDispatcher {
  private static final Duration GRANT_LIFETIME = Duration.ofSeconds(2);
  private static final long UNPLACED_TIMEOUT_NANOS = Duration.ofSeconds(2).toNanos();
  private static final long CARRIED_REPEAT_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
  private static final int MAX_PLACEMENTS = 3;
  private static final int MAX_REVIEWED_PER_TICK = 8;
  private static final long MIN_RETRY_MILLIS = 1_000;
  private static final double MOVE_THRESHOLD_MEAN_COSTS = 2;
  private static final long NANOS_PER_MILLI = Duration.ofMillis(1).toNanos();

  private final Ownership ownership;
  private final DispatchMessage.Sink sink;
  private final DecisionListener decisions;
  private final TargetTable targets;
  private final AdvertCache adverts = new AdvertCache();
  private final OwnerSelector selector;
  private final WaitingTickets waiting = new WaitingTickets();
  private final Map<Long, Placement> placements = new HashMap<>();
  private final RunningAttempts attempts;
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::dueNanos));
  private Configuration configuration;
  private long nextNumber;

  private EntryDispatcher(
      Configuration configuration,
      Ownership ownership,
      DispatchMessage.Sink sink,
      DecisionListener decisions,
      RandomGenerator random) {
    this.configuration = requireNonNull(configuration, "configuration");
    this.ownership = requireNonNull(ownership, "ownership");
    this.sink = requireNonNull(sink, "sink");
    this.decisions = requireNonNull(decisions, "decisions");
    attempts = new RunningAttempts(ownership, sink);
    targets = new TargetTable(configuration, ownership);
    selector = new OwnerSelector(ownership.self(), targets, adverts, random);
    nextNumber = random.nextInt(Integer.MAX_VALUE);
  }

  /**
   * Returns a dispatcher without tickets.
   *
   * @param configuration the configuration in force
   * @param ownership which node owns which upstream
   * @param sink sends messages to owners
   * @param decisions receives the decisions on requests
   * @param random source of randomness for the choice of owners and the first placement number
   * @return the dispatcher
   */
  public static EntryDispatcher of(
      Configuration configuration,
      Ownership ownership,
      DispatchMessage.Sink sink,
      DecisionListener decisions,
      RandomGenerator random) {
    return new EntryDispatcher(configuration, ownership, sink, decisions, random);
  }

  /**
   * Submits a ticket and sends it to an owner.
   *
   * @param request the ticket
   * @param listener receives the answer
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void submit(TicketRequest request, Listener listener, long nowNanos) {
    WaitingTicket ticket = new WaitingTicket(nextNumber++, request, listener, nowNanos);
    if (request.deadlineNanos() - nowNanos <= 0) {
      refuse(ticket, ErrorCode.DEADLINE_EXCEEDED, "the deadline of the request has passed", 0);
    } else if (!targets.isServed(request.service(), ticket.requirements)) {
      refuse(ticket, ErrorCode.NO_UPSTREAM, "no suitable upstream accepts new work", 0);
    } else {
      waiting.add(ticket);
      placeFirst(ticket, nowNanos);
    }
  }

  /**
   * Withdraws a ticket.
   *
   * @param request the caller's request
   * @param attempt number of the attempt
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void cancel(RequestId request, int attempt, long nowNanos) {
    WaitingTicket ticket = waiting.find(request, attempt);
    if (ticket != null) {
      decisions.decided(request, "cancelled", "the entry withdrew the ticket");
      drop(ticket);
      return;
    }
    attempts.abandon(request, attempt);
  }

  /**
   * Reports the end of a granted attempt to the owners that count it.
   *
   * @param completion how the attempt ended; a repetition is ignored
   */
  public void complete(Completion completion) {
    attempts.complete(completion);
  }

  /**
   * Uses a grant, or withdraws it if the ticket no longer waits or the upstream accepts no new
   * work.
   *
   * @param owner node that granted the ticket
   * @param granted the grant
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void granted(NodeId owner, DispatchMessage.Granted granted, long nowNanos) {
    long number = granted.number();
    Placement placement = placements.get(number);
    if (attempts.answerReminder(owner, number)) {
      return;
    }
    if (placement == null || !placement.owner.equals(owner)) {
      sink.send(owner, new DispatchMessage.Withdrawn(number));
    } else if (!ownership.acceptsNewWork(UpstreamId.of(granted.upstream()))) {
      sink.send(owner, new DispatchMessage.Withdrawn(number));
      placementLost(placement, nowNanos);
    } else {
      acceptGrant(placement, UpstreamId.of(granted.upstream()), nowNanos);
    }
  }

  /**
   * Records that a ticket waits at an owner, and looks for a better one.
   *
   * @param owner node that queued the ticket
   * @param queued the answer
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void queued(NodeId owner, DispatchMessage.Queued queued, long nowNanos) {
    if (attempts.answerReminder(owner, queued.number())) {
      return;
    }
    Placement placement = placements.get(queued.number());
    if (placement == null || !placement.owner.equals(owner)) {
      sink.send(owner, new DispatchMessage.Withdrawn(queued.number()));
      return;
    }
    timers.add(new Timer(placement.acknowledged(nowNanos), placement.number));
    placement.ticket.retryMillis = queued.waitMillis();
    placement.ticket.placed();
    WaitReason reason = EnumIndex.at(WaitReason.values(), queued.reason(), WaitReason.WINDOW_FULL);
    decisions.decided(
        placement.ticket.request.request(),
        "queued",
        "waits at " + owner + " behind " + queued.ahead() + " others, because " + reason.text());
    moveToBetterOwner(placement.ticket, nowNanos);
  }

  /**
   * Handles the refusal of one placement. A ticket without other placements is sent to another
   * owner, or refused if the team's queue is full.
   *
   * @param owner node that refused
   * @param refused the refusal
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void refused(NodeId owner, DispatchMessage.Refused refused, long nowNanos) {
    Placement placement = placements.get(refused.number());
    if (placement == null || !placement.owner.equals(owner)) {
      return;
    }
    ErrorCode code = EnumIndex.at(ErrorCode.values(), refused.code(), ErrorCode.NO_UPSTREAM);
    WaitingTicket ticket = placement.ticket;
    decisions.decided(ticket.request.request(), "refused", owner + " refused with " + code);
    if (code == ErrorCode.QUEUE_FULL && ticket.placements.size() == 1) {
      drop(ticket);
      refuse(ticket, code, "the team's queue at " + owner + " is full", refused.retryMillis());
      return;
    }
    placementLost(placement, nowNanos);
  }

  /**
   * Records the state of an upstream, and sends waiting tickets to its owner when it has free
   * slots.
   *
   * @param owner node that owns the upstream
   * @param advert the state
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void advertised(NodeId owner, DispatchMessage.Advert advert, long nowNanos) {
    Optional<Upstream> upstream = configuration.upstream(UpstreamId.of(advert.upstream()));
    if (upstream.isEmpty()) {
      return;
    }
    ServiceId service = upstream.get().service();
    adverts.put(owner, service, advert, nowNanos);
    if (advert.free() > 0) {
      waiting
          .pick(service, advert.free(), ticket -> canMoveTo(ticket, owner, upstream.get()))
          .forEach(ticket -> moveToFreeSlots(ticket, nowNanos));
    }
  }

  /**
   * Refuses expired tickets, repeats unanswered messages, and looks for owners for tickets without
   * an owner and for better owners for waiting ones.
   *
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void tick(long nowNanos) {
    for (WaitingTicket ticket : waiting.expired(nowNanos)) {
      drop(ticket);
      String detail = "the deadline passed while the request waited for an upstream";
      refuse(ticket, ErrorCode.DEADLINE_EXCEEDED, detail, ticket.retryMillis);
    }
    while (!timers.isEmpty() && timers.peek().dueNanos() - nowNanos <= 0) {
      handleTimer(timers.poll().number(), nowNanos);
    }
    for (ServiceId service : Set.copyOf(waiting.services())) {
      waiting
          .pick(service, MAX_REVIEWED_PER_TICK, ticket -> true)
          .forEach(ticket -> review(ticket, nowNanos));
    }
  }

  /**
   * Applies a new configuration.
   *
   * @param value the configuration
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void configurationChanged(Configuration value, long nowNanos) {
    configuration = requireNonNull(value, "value");
    targets.configurationChanged(value);
    ownershipChanged(nowNanos);
  }

  /**
   * Sends tickets whose owner is lost to other owners, and reports attempts in flight to new
   * owners.
   *
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void ownershipChanged(long nowNanos) {
    targets.ownershipChanged();
    for (Placement placement : List.copyOf(placements.values())) {
      WaitingTicket ticket = placement.ticket;
      boolean owns =
          targets.targets(ticket.request.service(), ticket.requirements).stream()
              .anyMatch(target -> target.owner().equals(placement.owner));
      if (!owns && placements.containsKey(placement.number)) {
        sink.send(placement.owner, new DispatchMessage.Withdrawn(placement.number));
        placementLost(placement, nowNanos);
      }
    }
    attempts.all().forEach(attempt -> notifyOwner(attempt, nowNanos));
  }

  /**
   * Sends tickets and attempts in flight again to an owner that restarted.
   *
   * @param owner node that restarted
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void ownerRestarted(NodeId owner, long nowNanos) {
    adverts.forget(owner);
    for (Placement placement : List.copyOf(placements.values())) {
      if (placement.owner.equals(owner)) {
        ask(placement, nowNanos);
      }
    }
    for (RunningAttempt attempt : attempts.all()) {
      attempt.countingOwners.remove(owner);
      notifyOwner(attempt, nowNanos);
    }
  }

  /**
   * Returns the number of tickets that wait for an answer.
   *
   * @return the count
   */
  public int waiting() {
    return waiting.size();
  }

  /**
   * Returns the number of granted attempts in flight.
   *
   * @return the count
   */
  public int running() {
    return attempts.size();
  }

  boolean awaits(DispatchMessage.Granted granted) {
    return placements.containsKey(granted.number());
  }

  private void acceptGrant(Placement placement, UpstreamId upstream, long nowNanos) {
    WaitingTicket ticket = placement.ticket;
    TicketRequest request = ticket.request;
    ticket.placements.remove(placement);
    placements.remove(placement.number);
    drop(ticket);
    RunningAttempt attempt =
        new RunningAttempt(placement.number, request, upstream, placement.owner);
    attempts.add(attempt);
    long waitMillis = (nowNanos - ticket.submittedNanos) / NANOS_PER_MILLI;
    decisions.decided(
        request.request(),
        "granted",
        placement.owner + " granted " + nameOf(upstream) + " after " + waitMillis + " ms");
    sink.send(placement.owner, new DispatchMessage.Used(placement.number));
    notifyOwner(attempt, nowNanos);
    ticket.listener.granted(
        new Grant(request.request(), request.attempt(), upstream, GRANT_LIFETIME));
  }

  private void placeFirst(WaitingTicket ticket, long nowNanos) {
    selector
        .selectFirst(ticket, nowNanos)
        .ifPresentOrElse(
            chosen -> place(ticket, chosen, nowNanos), () -> handleUnplaced(ticket, nowNanos));
  }

  private void place(WaitingTicket ticket, OwnerSelector.Selection chosen, long nowNanos) {
    NodeId owner = chosen.target().owner();
    Placement placement = new Placement(nextNumber++, owner, ticket);
    ticket.placements.add(placement);
    placements.put(placement.number, placement);
    decisions.decided(
        ticket.request.request(), "asked", "sent to " + owner + ", because " + chosen.reason());
    ask(placement, nowNanos);
  }

  private void ask(Placement placement, long nowNanos) {
    TicketRequest request = placement.ticket.request;
    long remaining = (request.deadlineNanos() - nowNanos) / NANOS_PER_MILLI;
    timers.add(new Timer(placement.asked(nowNanos), placement.number));
    sink.send(
        placement.owner,
        new DispatchMessage.Ask(
            placement.number,
            request.team().number(),
            request.service().number(),
            request.kind(),
            request.model().map(model -> model.number()).orElse(DispatchMessage.NO_MODEL),
            request.prefixHash(),
            (float) request.costHint(),
            (int) Math.min(Integer.MAX_VALUE, remaining),
            request.avoid().stream().map(UpstreamId::number).toList(),
            adverts.highestVirtualTime(request.service())));
  }

  private void handleUnplaced(WaitingTicket ticket, long nowNanos) {
    TicketRequest request = ticket.request;
    if (!targets.isServed(request.service(), ticket.requirements)) {
      drop(ticket);
      refuse(ticket, ErrorCode.NO_UPSTREAM, "no suitable upstream accepts new work", 0);
    } else if (ticket.unplacedFor(nowNanos) == 0) {
      decisions.decided(
          request.request(), "unplaced", "no owner of a suitable upstream is available");
    } else if (ticket.unplacedFor(nowNanos) > UNPLACED_TIMEOUT_NANOS) {
      drop(ticket);
      refuse(ticket, ErrorCode.NO_UPSTREAM, "no owner of a suitable upstream is available", 0);
    }
  }

  private void placementLost(Placement placement, long nowNanos) {
    WaitingTicket ticket = placement.ticket;
    placements.remove(placement.number);
    ticket.placements.remove(placement);
    ticket.refusedBy.add(placement.owner);
    if (ticket.placements.isEmpty()) {
      placeFirst(ticket, nowNanos);
    }
  }

  private void review(WaitingTicket ticket, long nowNanos) {
    if (!ticket.placements.isEmpty()) {
      moveToBetterOwner(ticket, nowNanos);
    } else if (ticket.isRetryDue(nowNanos)) {
      ticket.refusedBy.clear();
      placeFirst(ticket, nowNanos);
    }
  }

  private void moveToBetterOwner(WaitingTicket ticket, long nowNanos) {
    if (moveToFreeSlots(ticket, nowNanos) || ticket.placements.size() > 1) {
      return;
    }
    double mean = attempts.meanCost(ticket.request.service());
    selector
        .selectAhead(ticket, MOVE_THRESHOLD_MEAN_COSTS * mean, nowNanos)
        .or(() -> selector.selectToProbe(ticket, nowNanos))
        .ifPresent(chosen -> place(ticket, chosen, nowNanos));
  }

  private boolean moveToFreeSlots(WaitingTicket ticket, long nowNanos) {
    if (ticket.placements.size() >= MAX_PLACEMENTS) {
      return false;
    }
    Optional<OwnerSelector.Selection> chosen = selector.selectWithFreeSlots(ticket, nowNanos);
    chosen.ifPresent(found -> place(ticket, found, nowNanos));
    return chosen.isPresent();
  }

  private static boolean canMoveTo(WaitingTicket ticket, NodeId owner, Upstream upstream) {
    return ticket.placements.size() < MAX_PLACEMENTS
        && !ticket.isPlacedAt(owner)
        && !ticket.refusedBy.contains(owner)
        && ticket.requirements.areMetBy(upstream);
  }

  private void handleTimer(long number, long nowNanos) {
    Placement placement = placements.get(number);
    RunningAttempt attempt = attempts.find(number);
    if (attempt != null) {
      notifyOwner(attempt, nowNanos);
    } else if (placement != null && placement.isDue(nowNanos)) {
      repeatAsk(placement, nowNanos);
    }
  }

  private void repeatAsk(Placement placement, long nowNanos) {
    if (placement.isUnanswered()) {
      sink.send(placement.owner, new DispatchMessage.Withdrawn(placement.number));
      placementLost(placement, nowNanos);
    } else {
      ask(placement, nowNanos);
    }
  }

  private void notifyOwner(RunningAttempt attempt, long nowNanos) {
    if (attempts.notifyOwner(attempt, nowNanos)) {
      timers.add(new Timer(nowNanos + CARRIED_REPEAT_INTERVAL_NANOS, attempt.number));
    }
  }

  private void drop(WaitingTicket ticket) {
    waiting.remove(ticket);
    for (Placement placement : new ArrayList<>(ticket.placements)) {
      placements.remove(placement.number);
      sink.send(placement.owner, new DispatchMessage.Withdrawn(placement.number));
    }
    ticket.placements.clear();
  }

  private void refuse(WaitingTicket ticket, ErrorCode code, String detail, long retryMillis) {
    decisions.decided(ticket.request.request(), "answered", code + ": " + detail);
    Duration retry = Duration.ofMillis(Math.max(MIN_RETRY_MILLIS, retryMillis));
    ticket.listener.refused(new Refusal(code, detail, retry));
  }

  private String nameOf(UpstreamId upstream) {
    return configuration.upstream(upstream).map(Upstream::name).orElse("an unknown upstream");
  }

  private record Timer(long dueNanos, long number) {}
}
