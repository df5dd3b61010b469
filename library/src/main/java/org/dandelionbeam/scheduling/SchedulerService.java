package org.dandelionbeam.scheduling;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dandelionbeam.routing.Decision;
import org.dandelionbeam.routing.FleetState;
import org.dandelionbeam.routing.RouterName;
import org.dandelionbeam.routing.Scheduler;
import org.dandelionbeam.routing.ServiceSpec;
import org.dandelionbeam.routing.TeamQueue;
import org.dandelionbeam.routing.Ticket;
import org.dandelionbeam.routing.UpstreamInstance;
import org.dandelionbeam.routing.UpstreamLoad;
import org.dandelionbeam.scheduling.ScheduleRequest.Cancel;
import org.dandelionbeam.scheduling.ScheduleRequest.End;
import org.dandelionbeam.scheduling.ScheduleRequest.FirstOutput;
import org.dandelionbeam.scheduling.ScheduleRequest.Running;
import org.dandelionbeam.scheduling.ScheduleRequest.Submit;
import org.dandelionbeam.scheduling.ScheduleRequest.Sync;

/**
 * Decides on the requests that routers submit for the upstreams that this router schedules.
 *
 * <p>Submissions are idempotent, and each one is dropped if its router no longer confirms it. Not
 * thread-safe.
 */
public final class SchedulerService {
  /**
   * Routers confirm their submissions several times a second; one that doesn't has crashed or is
   * cut off.
   */
  private static final Duration CONFIRMATION_TIMEOUT = Duration.ofMillis(1_200);

  private final FleetState fleet;
  private final ScheduledUpstreams upstreams;
  private final Scheduler scheduler;
  private final Map<RouterName, Map<Long, Entry>> entriesByRouter = new HashMap<>();
  private final Map<Long, Entry> waiting = new HashMap<>();
  private final CrashDetector crashDetector = new CrashDetector();
  private final List<UpstreamCrash> newCrashes = new ArrayList<>();
  private long lastTicketNumber;

  private SchedulerService(FleetState fleet) {
    this.fleet = requireNonNull(fleet, "fleet");
    upstreams = ScheduledUpstreams.of(fleet);
    scheduler = Scheduler.of(fleet, upstreams);
  }

  /**
   * Creates a service without submissions.
   *
   * @param fleet state of the fleet
   * @return the service
   */
  public static SchedulerService of(FleetState fleet) {
    return new SchedulerService(fleet);
  }

  /**
   * A reply to be sent.
   *
   * @param to router that submitted the request
   * @param reply the reply
   */
  public record Outgoing(RouterName to, ScheduleReply reply) {}

  /**
   * Returns the upstreams that this router schedules.
   *
   * @return the upstreams
   */
  public ScheduledUpstreams upstreams() {
    return upstreams;
  }

  /**
   * Handles a message of a router.
   *
   * @param from the router
   * @param request the message
   * @return replies to that router
   */
  public List<Outgoing> receive(RouterName from, ScheduleRequest request) {
    List<Outgoing> replies = new ArrayList<>();
    if (request instanceof Submit submit) {
      replies.add(new Outgoing(from, submit(from, submit)));
    } else if (request instanceof Cancel cancel) {
      find(from, cancel.id()).ifPresent(this::remove);
    } else if (request instanceof FirstOutput output) {
      find(from, output.id()).ifPresent(entry -> recordFirstOutput(entry, output.elapsedNanos()));
    } else if (request instanceof End end) {
      find(from, end.id()).ifPresent(entry -> recordEnd(entry, end.outcome()));
    } else if (request instanceof Sync sync) {
      synchronize(from, sync).forEach(reply -> replies.add(new Outgoing(from, reply)));
    }
    return replies;
  }

  private Optional<Entry> find(RouterName from, long id) {
    return Optional.ofNullable(entriesByRouter.getOrDefault(from, Map.of()).get(id));
  }

  private ScheduleReply submit(RouterName from, Submit submit) {
    Optional<Entry> known = find(from, submit.id());
    if (known.isPresent()) {
      known.get().confirmedNanos = fleet.nowNanos();
      return known.get().reply();
    }
    upstreams.request(submit.submission().upstream(), fleet.nowNanos());
    lastTicketNumber++;
    Ticket ticket = submit.submission().toTicket(lastTicketNumber, fleet.nowNanos());
    Entry entry = new Entry(from, submit.id(), ticket, fleet.nowNanos());
    return apply(entry, scheduler.submit(ticket));
  }

  /** Records a decision and returns the reply that announces it. */
  private ScheduleReply apply(Entry entry, Decision decision) {
    if (decision instanceof Decision.Refused refused) {
      remove(entry);
      return new ScheduleReply.Refused(entry.id, refused.reason(), refused.retryAfter());
    }
    entriesByRouter.computeIfAbsent(entry.router, key -> new HashMap<>()).put(entry.id, entry);
    if (decision instanceof Decision.Granted granted) {
      entry.grant = Optional.of(granted);
      waiting.remove(entry.ticket.number());
    } else {
      waiting.put(entry.ticket.number(), entry);
    }
    return entry.reply();
  }

  private void remove(Entry entry) {
    if (entry.grant.isPresent()) {
      scheduler.recordEnd(entry.grant.get(), entry.outputSeen);
    } else {
      scheduler.cancel(entry.ticket);
      waiting.remove(entry.ticket.number());
    }
    Map<Long, Entry> entries = entriesByRouter.getOrDefault(entry.router, new HashMap<>());
    entries.remove(entry.id);
    if (entries.isEmpty()) {
      entriesByRouter.remove(entry.router);
    }
  }

  private void recordFirstOutput(Entry entry, long elapsedNanos) {
    if (entry.grant.isPresent() && !entry.outputSeen) {
      entry.outputSeen = true;
      entry.outputNanos = fleet.nowNanos();
      scheduler.recordFirstOutput(entry.grant.get(), Duration.ofNanos(elapsedNanos));
      scheduler.health().recordOutput(entry.grant.get().instance().id());
      recordReached(entry.grant.get().instance());
    }
  }

  private void recordEnd(Entry entry, Outcome outcome) {
    entry.grant.ifPresent(
        grant -> outcome.record(scheduler.health(), grant.instance().id(), fleet.nowNanos()));
    remove(entry);
    entry.grant.ifPresent(grant -> recordEvidence(entry, grant, outcome));
  }

  /** Records what the end of a request says about its prompt and about a crash of its upstream. */
  private void recordEvidence(Entry entry, Decision.Granted grant, Outcome outcome) {
    int upstream = grant.instance().number();
    long now = fleet.nowNanos();
    switch (outcome) {
      case FAILED -> recordReached(grant.instance());
      case SERVED -> {
        recordReached(grant.instance());
        crashDetector.recordServed(upstream);
        fleet.crashBlame().recordServed(entry.ticket.content(), now);
      }
      case BROKEN -> {
        recordReached(grant.instance());
        boolean isLast = fleet.loads().load(upstream).inFlight() == 0;
        Duration outputTime =
            entry.outputSeen ? Duration.ofNanos(now - entry.outputNanos) : Duration.ZERO;
        crashDetector
            .recordBreak(upstream, entry.ticket.content(), outputTime, isLast, now)
            .ifPresent(this::recordCrash);
      }
      case UNREACHABLE -> {
        fleet.upstreams().recordUnreachable(grant.instance().id());
        crashDetector.recordUnreachable(upstream).ifPresent(this::recordCrash);
      }
      default -> {}
    }
  }

  private void recordReached(UpstreamInstance upstream) {
    Duration coldStart =
        fleet
            .table()
            .flatMap(table -> table.service(upstream.service()))
            .map(ServiceSpec::coldStart)
            .orElse(Duration.ZERO);
    fleet.upstreams().recordReached(upstream.id(), coldStart, fleet.nowNanos());
  }

  private void recordCrash(UpstreamCrash crash) {
    newCrashes.add(crash);
    fleet
        .upstreams()
        .find(crash.upstream())
        .ifPresent(instance -> fleet.upstreams().recordUnreachable(instance.id()));
    fleet.crashBlame().recordCrash(crash.suspects(), fleet.nowNanos());
    fleet.crashBlame().blameNext(fleet.nowNanos());
  }

  /**
   * Returns the crashes of upstreams that were found since the last call.
   *
   * @return the crashes
   */
  public List<UpstreamCrash> takeCrashes() {
    List<UpstreamCrash> taken = List.copyOf(newCrashes);
    newCrashes.clear();
    return taken;
  }

  private List<ScheduleReply> synchronize(RouterName from, Sync sync) {
    List<ScheduleReply> replies = new ArrayList<>();
    Set<Long> listed = new HashSet<>(sync.waiting());
    for (long id : sync.waiting()) {
      Optional<Entry> entry = find(from, id);
      entry.ifPresent(known -> known.confirmedNanos = fleet.nowNanos());
      if (entry.isEmpty()) {
        replies.add(new ScheduleReply.Unknown(id));
      } else if (entry.get().grant.isPresent()) {
        replies.add(entry.get().reply());
      }
    }
    for (Running running : sync.running()) {
      listed.add(running.id());
      confirm(from, running);
    }
    List.copyOf(entriesByRouter.getOrDefault(from, Map.of()).values()).stream()
        .filter(entry -> !listed.contains(entry.id))
        .filter(entry -> entry.isOlderThan(CONFIRMATION_TIMEOUT, fleet.nowNanos()))
        .forEach(this::remove);
    return replies;
  }

  /** Confirms a granted submission, or takes it over from another scheduler. */
  private void confirm(RouterName from, Running running) {
    Optional<Entry> known = find(from, running.id());
    if (known.isPresent()) {
      known.get().confirmedNanos = fleet.nowNanos();
      if (running.outputSeen() && !known.get().outputSeen && known.get().grant.isPresent()) {
        known.get().outputSeen = true;
        known.get().outputNanos = fleet.nowNanos();
        releasePrefill(known.get().grant.get());
      }
      return;
    }
    Optional<UpstreamInstance> upstream = fleet.upstreams().find(running.upstream());
    upstream.ifPresent(instance -> adopt(from, running, instance));
  }

  private void releasePrefill(Decision.Granted grant) {
    fleet
        .loads()
        .subtract(
            grant.instance().number(), new UpstreamLoad(0, grant.addedLoad().prefillTokens(), 0));
  }

  private void adopt(RouterName from, Running running, UpstreamInstance instance) {
    lastTicketNumber++;
    Ticket ticket =
        Ticket.adopted(lastTicketNumber, instance.service(), running.digest(), fleet.nowNanos());
    Entry entry = new Entry(from, running.id(), ticket, fleet.nowNanos());
    Decision.Granted grant = new Decision.Granted(ticket, instance, running.load(), 0);
    fleet.loads().add(instance.number(), running.load());
    entry.outputSeen = running.outputSeen();
    entry.outputNanos = fleet.nowNanos();
    if (entry.outputSeen) {
      releasePrefill(grant);
    }
    apply(entry, grant);
  }

  /**
   * Decides again on the waiting submissions.
   *
   * @return replies that announce the decisions
   */
  public List<Outgoing> poll() {
    List<Outgoing> replies = new ArrayList<>();
    for (Decision decision : scheduler.poll()) {
      Entry entry = waiting.get(decision.ticket().number());
      if (entry != null) {
        replies.add(new Outgoing(entry.router, apply(entry, decision)));
      }
    }
    return replies;
  }

  /**
   * Drops the submissions of routers that no longer confirm them, finds upstreams that are gone and
   * blames parts of prompts under which upstreams crash; to be called several times a second.
   */
  public void expire() {
    long now = fleet.nowNanos();
    upstreams.expire(now);
    upstreams.refreshHolders(now);
    crashDetector
        .findGone(number -> fleet.upstreams().find(number).isPresent(), now)
        .forEach(this::recordCrash);
    fleet.crashBlame().blameNext(now);
    entriesByRouter.values().stream()
        .flatMap(entries -> entries.values().stream())
        .filter(entry -> entry.isOlderThan(CONFIRMATION_TIMEOUT, now))
        .toList()
        .forEach(this::remove);
  }

  /**
   * Returns the number of submissions that wait for an upstream.
   *
   * @return number over all services
   */
  public int waitingCount() {
    return waiting.size();
  }

  /**
   * Returns the submissions that wait for an upstream, by team.
   *
   * @return queues of the teams, the longest first
   */
  public List<TeamQueue> queues() {
    return scheduler.queues();
  }

  /**
   * Returns the number of submissions that were granted and have not ended.
   *
   * @return number over all services
   */
  public int grantedCount() {
    return entriesByRouter.values().stream().mapToInt(Map::size).sum() - waiting.size();
  }

  /** A submission with its state. */
  private static final class Entry {
    private final RouterName router;
    private final long id;
    private final Ticket ticket;
    private Optional<Decision.Granted> grant = Optional.empty();
    private boolean outputSeen;
    private long outputNanos;
    private long confirmedNanos;

    Entry(RouterName router, long id, Ticket ticket, long nowNanos) {
      this.router = router;
      this.id = id;
      this.ticket = ticket;
      confirmedNanos = nowNanos;
    }

    boolean isOlderThan(Duration age, long nowNanos) {
      return nowNanos - confirmedNanos > age.toNanos();
    }

    ScheduleReply reply() {
      return grant
          .<ScheduleReply>map(
              granted ->
                  new ScheduleReply.Granted(
                      id, granted.instance().number(), granted.addedLoad(), granted.aheadTokens()))
          .orElseGet(() -> new ScheduleReply.Queued(id));
    }
  }
}
