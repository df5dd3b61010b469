package org.dandelionbeam.scheduling;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dandelionbeam.routing.Decision;
import org.dandelionbeam.routing.FleetMembers.Member;
import org.dandelionbeam.routing.FleetState;
import org.dandelionbeam.routing.LoopTime;
import org.dandelionbeam.routing.RouterName;
import org.dandelionbeam.routing.Ticket;
import org.dandelionbeam.routing.UpstreamInstance;
import org.dandelionbeam.scheduling.PendingSubmission.State;

/**
 * Submits the requests of this router's callers to the schedulers of their upstreams.
 *
 * <p>A scheduler that doesn't answer is avoided for some time; its submissions go to the router
 * that replaces it. Not thread-safe.
 */
public final class SchedulerClient {
  /** A lost message is repeated well before the scheduler is given up. */
  private static final Duration RESEND_DELAY = Duration.ofMillis(40);

  private final FleetState fleet;
  private final CandidateSelector candidates;
  private final Map<Long, PendingSubmission> pending = new LinkedHashMap<>();
  private final Map<RouterName, SchedulerLink> links = new HashMap<>();
  private LoopTime lastTick = new LoopTime(0, 0);
  private SchedulerAssignment assignment;
  private Set<RouterName> avoided = Set.of();

  private SchedulerClient(FleetState fleet) {
    this.fleet = requireNonNull(fleet, "fleet");
    candidates = new CandidateSelector(fleet);
    assignment = SchedulerAssignment.of(List.of(fleet.members().self()));
  }

  /**
   * Creates a client without submissions.
   *
   * @param fleet state of the fleet
   * @return the client
   */
  public static SchedulerClient of(FleetState fleet) {
    return new SchedulerClient(fleet);
  }

  /** What has to be done after an event. */
  public sealed interface Action {

    /**
     * Sends a message to a scheduler, which may be this router.
     *
     * @param to the scheduler
     * @param request the message
     */
    record Send(Member to, ScheduleRequest request) implements Action {}

    /**
     * Carries out a decision on a request.
     *
     * @param decision the decision
     */
    record Decide(Decision decision) implements Action {}
  }

  /**
   * Returns the assignment of upstreams to the available routers.
   *
   * @return the assignment, the same object until it changes
   */
  public SchedulerAssignment assignment() {
    return assignment;
  }

  /** Takes over the available routers, from which schedulers are chosen. */
  public void refreshAssignment() {
    long now = fleet.nowNanos();
    links.values().removeIf(link -> link.isUnused(now));
    Set<RouterName> avoidedNow = new HashSet<>();
    links.forEach(
        (name, link) -> {
          if (link.isAvoided(now)) {
            avoidedNow.add(name);
          }
        });
    List<Member> available =
        fleet.members().available(now).stream()
            .filter(member -> !avoidedNow.contains(member.name()))
            .sorted(Comparator.comparing(Member::name))
            .toList();
    avoided = avoidedNow;
    if (!available.isEmpty() && !available.equals(assignment.members())) {
      assignment = SchedulerAssignment.of(available);
    }
  }

  /**
   * Submits a request.
   *
   * @param ticket the request
   * @return what has to be done
   */
  public List<Action> submit(Ticket ticket) {
    PendingSubmission submission = new PendingSubmission(ticket);
    pending.put(ticket.number(), submission);
    List<Action> actions = new ArrayList<>();
    send(submission, actions);
    return actions;
  }

  private void send(PendingSubmission submission, List<Action> actions) {
    CandidateSelector.Selection selection = candidates.select(submission.ticket);
    if (selection instanceof CandidateSelector.Selection.Candidates selected) {
      sendTo(selected, submission, actions);
    } else if (selection instanceof CandidateSelector.Selection.None none) {
      withdraw(submission, actions);
      actions.add(
          new Action.Decide(
              new Decision.Refused(
                  submission.ticket, Decision.RefusalReason.NO_UPSTREAM, none.retryAfter())));
    }
  }

  private void withdraw(PendingSubmission submission, List<Action> actions) {
    pending.remove(submission.ticket.number());
    if (submission.scheduler != null) {
      actions.add(
          new Action.Send(
              submission.scheduler, new ScheduleRequest.Cancel(submission.ticket.number())));
    }
  }

  private void sendTo(
      CandidateSelector.Selection.Candidates selected,
      PendingSubmission submission,
      List<Action> actions) {
    Ticket ticket = submission.ticket;
    UpstreamInstance preferred = selected.preferred();
    Member scheduler = assignment.schedulerOf(preferred, selected.usableCount());
    if (submission.scheduler != null && !submission.scheduler.equals(scheduler)) {
      actions.add(
          new Action.Send(submission.scheduler, new ScheduleRequest.Cancel(ticket.number())));
    }
    submission.scheduler = scheduler;
    submission.sent = loopTime();
    submission.state = State.SUBMITTED;
    Submission message =
        Submission.of(
            ticket,
            fleet.members().self().domain(),
            preferred.number(),
            selected.excluded(),
            fleet.nowNanos());
    expectAnswer(submission.scheduler);
    actions.add(
        new Action.Send(
            submission.scheduler, new ScheduleRequest.Submit(ticket.number(), message)));
  }

  private void expectAnswer(Member scheduler) {
    if (!isSelf(scheduler)) {
      links.computeIfAbsent(scheduler.name(), key -> new SchedulerLink()).expectAnswer(loopTime());
    }
  }

  private LoopTime loopTime() {
    return lastTick.at(fleet.nowNanos());
  }

  private boolean isSelf(Member member) {
    return member.name().equals(fleet.members().self().name());
  }

  /**
   * Withdraws a request that its caller has given up or that has timed out.
   *
   * @param ticket the request
   * @return what has to be done
   */
  public List<Action> cancel(Ticket ticket) {
    PendingSubmission submission = pending.remove(ticket.number());
    if (submission == null) {
      return List.of();
    }
    ScheduleRequest request =
        submission.state == State.GRANTED
            ? new ScheduleRequest.End(ticket.number(), Outcome.ABANDONED)
            : new ScheduleRequest.Cancel(ticket.number());
    return List.of(new Action.Send(submission.scheduler, request));
  }

  /**
   * Reports the first output of a granted request.
   *
   * @param ticket the request
   * @param elapsed time since it was sent to its upstream
   * @return what has to be done
   */
  public List<Action> recordFirstOutput(Ticket ticket, Duration elapsed) {
    PendingSubmission submission = pending.get(ticket.number());
    if (submission == null) {
      return List.of();
    }
    submission.outputSeen = true;
    return List.of(
        new Action.Send(
            submission.scheduler,
            new ScheduleRequest.FirstOutput(ticket.number(), elapsed.toNanos())));
  }

  /**
   * Reports the end of a granted request.
   *
   * @param ticket the request
   * @param outcome how it ended
   * @return what has to be done
   */
  public List<Action> recordEnd(Ticket ticket, Outcome outcome) {
    PendingSubmission submission = pending.remove(ticket.number());
    return submission == null
        ? List.of()
        : List.of(
            new Action.Send(
                submission.scheduler, new ScheduleRequest.End(ticket.number(), outcome)));
  }

  /**
   * Records that a scheduler has sent a message.
   *
   * @param from the scheduler
   */
  public void recordAnswer(RouterName from) {
    SchedulerLink link = links.get(from);
    if (link != null) {
      link.recordAnswer(fleet.nowNanos());
    }
  }

  /**
   * Handles a reply of a scheduler.
   *
   * @param from the scheduler
   * @param reply the reply
   * @return what has to be done
   */
  public List<Action> receive(Member from, ScheduleReply reply) {
    PendingSubmission submission = pending.get(reply.id());
    if (submission == null || !submission.scheduler.name().equals(from.name())) {
      return returnUnexpectedGrant(from, reply, submission);
    }
    List<Action> actions = new ArrayList<>();
    if (reply instanceof ScheduleReply.Granted granted) {
      receiveGrant(submission, granted, actions);
    } else if (submission.state == State.GRANTED) {
      return actions;
    } else if (reply instanceof ScheduleReply.Queued) {
      if (submission.state == State.SUBMITTED) {
        submission.state = State.WAITING;
        actions.add(new Action.Decide(new Decision.Waiting(submission.ticket)));
      }
    } else if (reply instanceof ScheduleReply.Refused refused) {
      pending.remove(reply.id());
      actions.add(
          new Action.Decide(
              new Decision.Refused(submission.ticket, refused.reason(), refused.retryAfter())));
    } else {
      send(submission, actions);
    }
    return actions;
  }

  /** Gives back a grant that is no longer needed, as the request ended or was sent elsewhere. */
  private List<Action> returnUnexpectedGrant(
      Member from, ScheduleReply reply, PendingSubmission submission) {
    boolean isGrant = reply instanceof ScheduleReply.Granted;
    boolean heldElsewhere = submission != null && submission.state == State.GRANTED;
    if (!isGrant || (heldElsewhere && submission.scheduler.name().equals(from.name()))) {
      return List.of();
    }
    return List.of(new Action.Send(from, new ScheduleRequest.End(reply.id(), Outcome.ABANDONED)));
  }

  private void receiveGrant(
      PendingSubmission submission, ScheduleReply.Granted granted, List<Action> actions) {
    if (submission.state == State.GRANTED) {
      return;
    }
    Optional<UpstreamInstance> upstream =
        fleet
            .upstreams()
            .find(granted.upstream(), submission.ticket.service())
            .filter(found -> fleet.upstreams().isUsable(found))
            .filter(found -> candidates.mayGet(found, submission.ticket));
    if (upstream.isEmpty()) {
      // The scheduler knows older or newer entries, or not what this router knows of the upstream.
      actions.add(
          new Action.Send(
              submission.scheduler, new ScheduleRequest.End(granted.id(), Outcome.ABANDONED)));
      submission.ticket.exclude(granted.upstream());
      send(submission, actions);
      return;
    }
    submission.state = State.GRANTED;
    submission.grant =
        Optional.of(
            new Decision.Granted(
                submission.ticket, upstream.get(), granted.load(), granted.aheadTokens()));
    actions.add(new Action.Decide(submission.grant.get()));
  }

  /**
   * Repeats messages that may be lost, gives up schedulers that don't answer, and confirms the
   * submissions; to be called every few hundredths of a second.
   *
   * @return what has to be done
   */
  public List<Action> tick() {
    lastTick = lastTick.next(fleet.nowNanos());
    LoopTime now = lastTick;
    List<Action> actions = new ArrayList<>();
    boolean anySilent = false;
    for (SchedulerLink link : links.values()) {
      anySilent |= link.avoidIfSilent(now);
    }
    if (anySilent) {
      refreshAssignment();
    }
    for (PendingSubmission submission : List.copyOf(pending.values())) {
      if (submission.state == State.GRANTED) {
        continue;
      }
      boolean lost = avoided.contains(submission.scheduler.name());
      boolean unanswered =
          submission.state == State.SUBMITTED && submission.sent.isOverdue(RESEND_DELAY, now);
      if (lost || unanswered) {
        send(submission, actions);
      }
    }
    synchronize(now, actions);
    return actions;
  }

  /** Confirms the submissions at their schedulers, which are looked up anew for granted ones. */
  private void synchronize(LoopTime now, List<Action> actions) {
    Map<Member, List<Long>> waiting = new HashMap<>();
    Map<Member, List<ScheduleRequest.Running>> running = new HashMap<>();
    for (PendingSubmission submission : pending.values()) {
      if (submission.state == State.WAITING) {
        waiting
            .computeIfAbsent(submission.scheduler, key -> new ArrayList<>())
            .add(submission.ticket.number());
      } else if (submission.state == State.GRANTED) {
        submission.scheduler = currentScheduler(submission);
        running
            .computeIfAbsent(submission.scheduler, key -> new ArrayList<>())
            .add(submission.running());
      }
    }
    Set<Member> schedulers = new HashSet<>(waiting.keySet());
    schedulers.addAll(running.keySet());
    for (Member scheduler : schedulers) {
      SchedulerLink link = links.computeIfAbsent(scheduler.name(), key -> new SchedulerLink());
      if (link.isSyncDue(now.nanos())) {
        link.recordSync(now, !isSelf(scheduler));
        ScheduleRequest.Sync.split(
                waiting.getOrDefault(scheduler, List.of()),
                running.getOrDefault(scheduler, List.of()))
            .forEach(sync -> actions.add(new Action.Send(scheduler, sync)));
      }
    }
  }

  private Member currentScheduler(PendingSubmission submission) {
    UpstreamInstance upstream = submission.grant.orElseThrow().instance();
    int count = fleet.upstreams().usable(upstream.service()).size();
    return assignment.schedulerOf(upstream, count);
  }

  /**
   * Tells whether there are submissions, so that {@link #tick} has to be called.
   *
   * @return false if no request waits or runs
   */
  public boolean hasSubmissions() {
    return !pending.isEmpty();
  }
}
