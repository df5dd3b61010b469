package org.dandelionbeam.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.dispatch.DispatchMessage.Sink;
import org.dandelionbeam.dispatch.DispatchPort.Outcome;
import org.dandelionbeam.membership.WindowState;

/**
 * Owner side of dispatch: queues tickets for owned upstreams and grants slots in fair order.
 *
 * <p>Events only change state. {@link #processPending} then grants free slots and answers the other
 * tickets, so that tickets that arrive together compete with each other.
 */
public final class OwnerDispatcher {
  private static final long NANOS_PER_MICRO = 1_000;
  private final OwnerPorts ports;
  private final Sink sink;
  private final ConfiguredTeamPolicy policy;
  private final HeldSlots heldSlots = new HeldSlots();
  private final Map<UpstreamId, OwnedUpstream> upstreams = new LinkedHashMap<>();
  private final Map<ServiceId, ServiceQueue> services = new HashMap<>();
  private final Set<ServiceQueue> pending = new LinkedHashSet<>();
  private final InFlightCounts inFlight = new InFlightCounts();
  private Configuration configuration;
  private boolean draining;

  private OwnerDispatcher(Configuration configuration, OwnerPorts ports, Sink sink) {
    this.configuration = requireNonNull(configuration, "configuration");
    this.ports = requireNonNull(ports, "ports");
    this.sink = requireNonNull(sink, "sink");
    policy = new ConfiguredTeamPolicy(configuration);
  }

  /**
   * Returns a dispatcher without upstreams; call {@link #ownershipChanged} to start.
   *
   * @param configuration the configuration in force
   * @param ports functions of other components
   * @param sink sends messages to entries
   * @return the dispatcher
   */
  public static OwnerDispatcher of(Configuration configuration, OwnerPorts ports, Sink sink) {
    return new OwnerDispatcher(configuration, ports, sink);
  }

  /**
   * Applies a new configuration.
   *
   * @param value the configuration
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void configurationChanged(Configuration value, long nowNanos) {
    configuration = requireNonNull(value, "value");
    policy.configurationChanged(value);
    ownershipChanged(nowNanos);
  }

  /**
   * Reads again which upstreams this node owns and which nodes are alive.
   *
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void ownershipChanged(long nowNanos) {
    NodeId self = ports.ownership().self();
    for (Upstream upstream : configuration.upstreams()) {
      Optional<NodeId> owner = ports.ownership().ownerOf(upstream.id());
      if (owner.isPresent() && owner.get().equals(self)) {
        startOwning(upstream, nowNanos);
      } else {
        stopOwning(upstream.id());
      }
    }
    List.copyOf(upstreams.keySet()).stream()
        .filter(id -> configuration.upstream(id).isEmpty())
        .forEach(this::stopOwning);
    Set<NodeId> alive = new HashSet<>(ports.ownership().aliveMembers());
    forgetEntries(node -> !alive.contains(node), nowNanos);
    services.values().forEach(this::refuseUnservable);
    pending.addAll(services.values());
  }

  /**
   * Removes the tickets of an entry that restarted and marks its slots as orphaned.
   *
   * @param entry node that restarted
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void entryRestarted(NodeId entry, long nowNanos) {
    forgetEntries(entry::equals, nowNanos);
  }

  /**
   * Queues or refuses a ticket, or repeats the answer to a known one.
   *
   * @param entry node that sent the ticket
   * @param ask the ticket
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void asked(NodeId entry, DispatchMessage.Ask ask, long nowNanos) {
    QueuedTicket ticket = QueuedTicket.of(entry, ask, nowNanos);
    Optional<HeldSlot> held = heldSlots.find(ticket.key());
    if (held.isPresent()) {
      sendGrant(held.get());
      return;
    }
    ServiceQueue service = services.get(ticket.service());
    Optional<ErrorCode> refusal = admit(service, ticket, ask.virtualTime());
    if (refusal.isPresent()) {
      long retry = service == null ? 0 : service.retryMillis(ticket.team(), nowNanos);
      refuse(ticket.key(), refusal.get(), retry);
      return;
    }
    service.recordEntry(entry);
    ports.usageListener().queued(ticket.service(), ticket.team());
    service.unanswered.add(ticket.key());
    pending.add(service);
  }

  /**
   * Removes a ticket from its queue, or reclaims its slot.
   *
   * @param entry node that sent the ticket
   * @param number number of the placement
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void withdrawn(NodeId entry, long number, long nowNanos) {
    TicketKey key = TicketKey.of(entry, number);
    heldSlots.find(key).ifPresent(slot -> withdrawGrant(slot, nowNanos));
    for (ServiceQueue service : services.values()) {
      service.unanswered.remove(key);
      service.queue.remove(key);
    }
  }

  /**
   * Records that a grant is in use.
   *
   * @param entry node that sent the ticket
   * @param number number of the placement
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void used(NodeId entry, long number, long nowNanos) {
    heldSlots
        .find(TicketKey.of(entry, number))
        .ifPresent(
            slot -> {
              slot.confirm(nowNanos);
              heldSlots.scheduleReminder(slot, nowNanos);
            });
  }

  /**
   * Releases the slot of an attempt that ended.
   *
   * @param entry node that sent the ticket
   * @param ended how the attempt ended; a repetition is ignored
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void ended(NodeId entry, DispatchMessage.Ended ended, long nowNanos) {
    Outcome outcome = EnumIndex.at(Outcome.values(), ended.outcome(), Outcome.BROKEN);
    long firstByte = ended.firstByteMicros() * NANOS_PER_MICRO;
    long elapsed = ended.elapsedMicros() * NANOS_PER_MICRO;
    heldSlots
        .find(TicketKey.of(entry, ended.number()))
        .ifPresent(slot -> release(slot, outcome, ended.cost(), firstByte, elapsed, nowNanos));
  }

  /**
   * Adopts an attempt in flight that an earlier owner granted.
   *
   * @param entry node that runs the attempt
   * @param carried the attempt; a repetition only confirms it
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void carried(NodeId entry, DispatchMessage.Carried carried, long nowNanos) {
    TicketKey key = TicketKey.of(entry, carried.number());
    OwnedUpstream upstream = upstreams.get(UpstreamId.of(carried.upstream()));
    if (upstream == null || !upstream.isOwned() || heldSlots.find(key).isPresent()) {
      used(entry, carried.number(), nowNanos);
      return;
    }
    QueuedTicket ticket = QueuedTicket.of(entry, carried, upstream.upstream().service(), nowNanos);
    ServiceQueue service = queueOf(ticket.service(), nowNanos);
    service.queue.remove(key);
    service.queue.adopt(ticket.team(), 0);
    HeldSlot slot = new HeldSlot(ticket, upstream.upstream().id(), 0, 0, nowNanos);
    heldSlots.add(slot);
    upstream.adopt(slot, nowNanos);
    slot.confirm(nowNanos);
  }

  /**
   * Removes expired tickets, sends due reminders, reclaims unused slots and grants free ones.
   *
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void tick(long nowNanos) {
    boolean changed = false;
    for (OwnedUpstream upstream : upstreams.values()) {
      changed |= upstream.refreshAccepting();
      upstream.publishChange();
    }
    if (changed) {
      services.values().forEach(this::refuseUnservable);
    }
    heldSlots.due(nowNanos).forEach(slot -> review(slot, nowNanos));
    for (ServiceQueue service : services.values()) {
      service.queue.expire(nowNanos).forEach(ticket -> service.unanswered.remove(ticket.key()));
      pending.add(service);
    }
    processPending(nowNanos);
  }

  /**
   * Grants free slots and answers the tickets that have to wait.
   *
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void processPending(long nowNanos) {
    List<ServiceQueue> due = List.copyOf(pending);
    pending.clear();
    for (ServiceQueue service : due) {
      dispatch(service, nowNanos);
      sendQueued(service, nowNanos);
      if (service.queue.size() == 0 && !draining) {
        service.advertiseFreeSlots(sink, nowNanos);
      }
    }
  }

  /** Refuses all waiting and new tickets; granted attempts continue. */
  public void drain() {
    draining = true;
    for (ServiceQueue service : services.values()) {
      for (QueuedTicket ticket : service.queue.tickets()) {
        service.queue.remove(ticket.key());
        refuse(ticket.key(), ErrorCode.STOPPING, 0);
      }
      service.unanswered.clear();
    }
  }

  /**
   * Returns the window of an upstream.
   *
   * @param upstream the upstream
   * @return empty if this node neither owns the upstream nor has attempts in flight on it
   */
  public Optional<Window> window(UpstreamId upstream) {
    return Optional.ofNullable(upstreams.get(upstream)).map(OwnedUpstream::window);
  }

  /**
   * Returns the number of attempts that hold slots of an upstream.
   *
   * @param upstream the upstream
   * @return the count
   */
  public int inFlight(UpstreamId upstream) {
    OwnedUpstream owned = upstreams.get(upstream);
    return owned == null ? 0 : owned.heldSlots();
  }

  /**
   * Returns the counts of granted attempts, for reading on any thread.
   *
   * @return the live counts
   */
  public InFlightCounts inFlightCounts() {
    return inFlight;
  }

  /**
   * Returns the number of waiting tickets of a service.
   *
   * @param service the service
   * @return the count
   */
  public int waiting(ServiceId service) {
    return services.containsKey(service) ? services.get(service).queue.size() : 0;
  }

  private void startOwning(Upstream upstream, long nowNanos) {
    OwnedUpstream known =
        upstreams.computeIfAbsent(
            upstream.id(), id -> new OwnedUpstream(ports.ownership(), inFlight, upstream));
    boolean resized =
        known.upstream().window() != upstream.window()
            || known.upstream().coldLimit() != upstream.coldLimit();
    boolean wasOwned = known.isOwned();
    known.configure(upstream);
    if (!wasOwned || resized) {
      Optional<WindowState> inherited =
          wasOwned
              ? Optional.of(known.window().state())
              : ports.ownership().inheritedWindow(upstream.id());
      known.startOwning(ports.windowFactory().create(upstream, inherited), nowNanos);
    }
    queueOf(upstream.service(), nowNanos).upstreams.put(upstream.id(), known);
  }

  private void stopOwning(UpstreamId id) {
    OwnedUpstream known = upstreams.get(id);
    if (known == null) {
      return;
    }
    known.publishChange();
    known.stopOwning();
    removeIfUnused(known);
  }

  private void removeIfUnused(OwnedUpstream upstream) {
    if (!upstream.isOwned() && upstream.heldSlots() == 0) {
      UpstreamId id = upstream.upstream().id();
      upstreams.remove(id);
      services.values().forEach(service -> service.upstreams.remove(id));
    }
  }

  private ServiceQueue queueOf(ServiceId service, long nowNanos) {
    return services.computeIfAbsent(
        service, id -> new ServiceQueue(FairQueue.of(id, policy, ports.remoteUsage()), nowNanos));
  }

  private void forgetEntries(Predicate<NodeId> lost, long nowNanos) {
    for (ServiceQueue service : services.values()) {
      for (QueuedTicket ticket : service.queue.tickets()) {
        if (lost.test(ticket.key().entry())) {
          service.queue.remove(ticket.key());
          service.unanswered.remove(ticket.key());
        }
      }
    }
    heldSlots.markOrphaned(lost).forEach(slot -> review(slot, nowNanos));
  }

  private void refuseUnservable(ServiceQueue service) {
    for (QueuedTicket ticket : service.queue.tickets()) {
      if (!service.accepts(ticket.requirements())) {
        service.queue.remove(ticket.key());
        service.unanswered.remove(ticket.key());
        refuse(ticket.key(), ErrorCode.NO_UPSTREAM, 0);
      }
    }
  }

  private Optional<ErrorCode> admit(ServiceQueue service, QueuedTicket ticket, double virtualTime) {
    if (draining) {
      return Optional.of(ErrorCode.STOPPING);
    }
    if (service == null || !service.accepts(ticket.requirements())) {
      return Optional.of(ErrorCode.NO_UPSTREAM);
    }
    service.queue.advanceTo(virtualTime);
    boolean queued = service.queue.offer(ticket);
    return queued ? Optional.empty() : Optional.of(ErrorCode.QUEUE_FULL);
  }

  private void dispatch(ServiceQueue service, long nowNanos) {
    if (service.queue.size() == 0) {
      return;
    }
    List<OwnedUpstream> free = service.upstreamsWithFreeSlots(nowNanos);
    while (!free.isEmpty()) {
      Optional<QueuedTicket> head =
          service.queue.head(requirements -> free.stream().anyMatch(u -> u.accepts(requirements)));
      if (head.isEmpty()) {
        return;
      }
      OwnedUpstream chosen = choose(free, head.get(), nowNanos);
      if (chosen.reserve(nowNanos)) {
        grant(service, chosen, head.get(), nowNanos);
      }
      if (chosen.freeSlots(nowNanos) <= 0) {
        free.remove(chosen);
      }
    }
  }

  private OwnedUpstream choose(List<OwnedUpstream> free, QueuedTicket head, long nowNanos) {
    List<UpstreamId> holders =
        head.prefixHash() == 0 ? List.of() : ports.affinity().holders(head.prefixHash(), nowNanos);
    return ServiceQueue.choose(free, head.requirements(), holders);
  }

  private void grant(
      ServiceQueue service, OwnedUpstream upstream, QueuedTicket ticket, long nowNanos) {
    double estimate =
        ports
            .estimates()
            .estimate(
                ticket.team(),
                ticket.service(),
                ticket.kind(),
                ticket.requirements().model(),
                ticket.costHint());
    service.queue.start(ticket, estimate);
    service.unanswered.remove(ticket.key());
    double reported = service.estimateToReport(estimate);
    HeldSlot slot = new HeldSlot(ticket, upstream.upstream().id(), estimate, reported, nowNanos);
    heldSlots.add(slot);
    upstream.hold(slot, nowNanos);
    ports.usageListener().charged(ticket.service(), ticket.team(), slot.reportedEstimate);
    ports.usageListener().waited(ticket.service(), ticket.team(), nowNanos - ticket.queuedNanos());
    sendGrant(slot);
    service.sendAdverts(ticket.key().entry(), sink, nowNanos);
  }

  private void sendQueued(ServiceQueue service, long nowNanos) {
    for (TicketKey key : service.unanswered) {
      service.queue.find(key).ifPresent(ticket -> sendQueued(service, ticket, nowNanos));
    }
    service.unanswered.clear();
  }

  private void sendQueued(ServiceQueue service, QueuedTicket ticket, long nowNanos) {
    service.resetAdvertInterval();
    WaitReason reason = service.waitReason(ticket.requirements(), nowNanos);
    int waitMillis = (int) service.expectedWaitMillis(ticket.team(), nowNanos);
    TicketKey key = ticket.key();
    service.sendAdverts(key.entry(), sink, nowNanos);
    sink.send(
        key.entry(),
        new DispatchMessage.Queued(
            key.number(), reason.ordinal(), service.queue.size() - 1, waitMillis));
  }

  private void review(HeldSlot slot, long nowNanos) {
    OwnedUpstream upstream = upstreams.get(slot.upstream);
    if (slot.isReclaimable(upstream.isCold(), nowNanos)) {
      double cost = slot.used ? slot.estimate : 0;
      release(slot, Outcome.ABANDONED, cost, 0, 0, nowNanos);
      return;
    }
    if (!slot.orphaned) {
      sendGrant(slot);
    }
    heldSlots.scheduleReminder(slot, nowNanos);
  }

  private void sendGrant(HeldSlot slot) {
    TicketKey key = slot.ticket.key();
    sink.send(key.entry(), new DispatchMessage.Granted(key.number(), slot.upstream.number()));
  }

  /** Keeps a slot whose request may still run: a restarted entry does not know its old ones. */
  private void withdrawGrant(HeldSlot slot, long nowNanos) {
    if ((slot.used || slot.orphaned) && upstreams.get(slot.upstream).isCold()) {
      slot.orphaned = true;
    } else {
      release(slot, Outcome.ABANDONED, 0, 0, 0, nowNanos);
    }
  }

  private void release(
      HeldSlot slot,
      Outcome outcome,
      double cost,
      long firstByteNanos,
      long elapsedNanos,
      long nowNanos) {
    QueuedTicket ticket = slot.ticket;
    OwnedUpstream upstream = upstreams.get(slot.upstream);
    heldSlots.remove(slot);
    upstream.release(slot);
    upstream.window().ended(outcome, cost, firstByteNanos, elapsedNanos, nowNanos);
    ServiceQueue service = queueOf(ticket.service(), nowNanos);
    service.queue.finish(ticket.team(), slot.estimate, cost);
    ports.usageListener().charged(ticket.service(), ticket.team(), cost - slot.reportedEstimate);
    ports.usageListener().ended(ticket.service(), ticket.team(), cost);
    if (outcome == Outcome.ANSWERED) {
      service.recordEnd(cost, nowNanos);
      ports.estimates().observed(ticket, cost);
      ports.affinity().used(ticket.prefixHash(), slot.upstream, nowNanos);
    }
    removeIfUnused(upstream);
    pending.add(service);
  }

  private void refuse(TicketKey key, ErrorCode code, long retryMillis) {
    sink.send(
        key.entry(), new DispatchMessage.Refused(key.number(), code.ordinal(), (int) retryMillis));
  }
}
