package org.dandelionbeam.daemon.session;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.dispatch.DispatchPort;
import org.dandelionbeam.dispatch.TicketRequest;

/** Dispatch with one queue that counts slots and can refuse, hold or lose tickets. */
class TestDispatch implements DispatchPort {
  private final Configuration configuration;
  private final Deque<WaitingTicket> queue = new ArrayDeque<>();
  private final Map<UpstreamId, Integer> inFlight = new HashMap<>();
  private final Map<String, Grant> open = new LinkedHashMap<>();
  private Optional<Refusal> refusal = Optional.empty();
  private final Set<String> lostTickets = new HashSet<>();
  private final Consumer<Step> reached;
  private boolean held;
  private boolean partitioned;
  private boolean processing;
  private int unexpectedCompletions;

  TestDispatch(Configuration configuration) {
    this(configuration, step -> {});
  }

  TestDispatch(Configuration configuration, Consumer<Step> reached) {
    this.configuration = configuration;
    this.reached = reached;
  }

  @Override
  public synchronized void submit(TicketRequest ticket, Listener listener) {
    reached.accept(Step.TICKET);
    if (partitioned) {
      lostTickets.add(attemptKey(ticket.request(), ticket.attempt()));
      return;
    }
    queue.add(new WaitingTicket(ticket, listener));
    reached.accept(Step.QUEUE);
    processQueue();
  }

  @Override
  public synchronized void cancel(RequestId request, int attempt) {
    lostTickets.remove(attemptKey(request, attempt));
    queue.removeIf(w -> w.ticket.request().equals(request) && w.ticket.attempt() == attempt);
  }

  @Override
  public synchronized void complete(Completion completion) {
    reached.accept(Step.COMPLETION_REPORT);
    Grant ended = open.remove(attemptKey(completion.request(), completion.attempt()));
    if (ended == null) {
      unexpectedCompletions++;
      return;
    }
    inFlight.merge(ended.upstream(), -1, Integer::sum);
    processQueue();
  }

  /** Refuses all waiting and future tickets. */
  synchronized void refuse(ErrorCode code) {
    refusal = Optional.of(new Refusal(code, "refused by the test", Duration.ofSeconds(2)));
    processQueue();
  }

  /** Holds the queue: nothing is granted or refused until it is released. */
  synchronized void hold(boolean holding) {
    held = holding;
    processQueue();
  }

  /** Loses tickets, grants and refusals from now on; the owner frees the slots of lost grants. */
  synchronized void partition() {
    partitioned = true;
  }

  /** Ends all faults. */
  synchronized void heal() {
    refusal = Optional.empty();
    partitioned = false;
    held = false;
  }

  /** Returns how many tickets have been neither granted, refused nor cancelled. */
  synchronized int waiting() {
    return queue.size() + lostTickets.size();
  }

  synchronized int openSlots() {
    return open.size();
  }

  synchronized int unexpectedCompletions() {
    return unexpectedCompletions;
  }

  private void processQueue() {
    if (processing || held || partitioned) {
      return;
    }
    processing = true;
    Iterator<WaitingTicket> waiting = queue.iterator();
    while (waiting.hasNext()) {
      WaitingTicket next = waiting.next();
      Optional<Refusal> refused = refusal.or(() -> refusalOf(next.ticket));
      if (refused.isPresent()) {
        waiting.remove();
        next.listener.refused(refused.get());
      } else {
        freeUpstream(next.ticket).ifPresent(upstream -> grant(waiting, next, upstream));
      }
    }
    processing = false;
  }

  private void grant(Iterator<WaitingTicket> waiting, WaitingTicket next, Upstream upstream) {
    waiting.remove();
    TicketRequest ticket = next.ticket;
    String name = attemptKey(ticket.request(), ticket.attempt());
    reached.accept(Step.GRANT);
    if (partitioned) {
      lostTickets.add(name);
      return;
    }
    Grant grant =
        new Grant(ticket.request(), ticket.attempt(), upstream.id(), Duration.ofSeconds(1));
    inFlight.merge(upstream.id(), 1, Integer::sum);
    open.put(name, grant);
    next.listener.granted(grant);
  }

  private static String attemptKey(RequestId request, int attempt) {
    return request + "/" + attempt;
  }

  private Optional<Refusal> refusalOf(TicketRequest ticket) {
    boolean served = configuration.upstreams().stream().anyMatch(u -> serves(u, ticket));
    return served
        ? Optional.empty()
        : Optional.of(new Refusal(ErrorCode.NO_UPSTREAM, "no upstream", Duration.ofSeconds(1)));
  }

  private Optional<Upstream> freeUpstream(TicketRequest ticket) {
    return configuration.upstreams().stream()
        .filter(upstream -> serves(upstream, ticket))
        .filter(upstream -> inFlight.getOrDefault(upstream.id(), 0) < upstream.window())
        .findFirst();
  }

  private static boolean serves(Upstream upstream, TicketRequest ticket) {
    return upstream.service().equals(ticket.service())
        && ticket.model().map(upstream.models()::contains).orElse(true)
        && !ticket.avoid().contains(upstream.id());
  }

  private record WaitingTicket(TicketRequest ticket, Listener listener) {}
}
