package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.routing.Decision;
import org.dandelionbeam.routing.FleetMembers.Member;
import org.dandelionbeam.routing.FleetState;
import org.dandelionbeam.routing.RouterName;
import org.dandelionbeam.routing.Ticket;
import org.dandelionbeam.scheduling.Outcome;
import org.dandelionbeam.scheduling.ScheduleReply;
import org.dandelionbeam.scheduling.ScheduleRequest;
import org.dandelionbeam.scheduling.SchedulerClient;
import org.dandelionbeam.scheduling.SchedulerClient.Action;
import org.dandelionbeam.scheduling.SchedulerService;
import org.dandelionbeam.scheduling.UpstreamCrash;

/**
 * Connects the requests of this router's callers with the schedulers of their upstreams, and the
 * scheduler of this router with other routers. Messages to one router that arise from the same
 * events go into one datagram. Confined to one event loop.
 */
final class RequestScheduling {
  /** Resolution of the timeouts between routers, and interval of decisions on waiting requests. */
  private static final int MAX_LOGGED_SUSPECTS = 4;

  private static final Duration TICK_INTERVAL = Duration.ofMillis(15);

  /** Keeps datagrams short; the longest messages have some hundred bytes. */
  private static final int MAX_MESSAGES_PER_DATAGRAM = 8;

  private final EventLoop loop;
  private final FleetState fleet;
  private final EventLog log;
  private final PeerLink link;
  private final Member self;
  private final SchedulerClient client;
  private final SchedulerService service;
  private final PollThrottle pollThrottle = new PollThrottle(System.nanoTime());
  private final Map<Long, RequestTask> tasks = new HashMap<>();
  private final Map<RouterName, InetSocketAddress> addresses = new HashMap<>();
  private final Map<RouterName, List<ScheduleRequest>> requests = new LinkedHashMap<>();
  private final Map<RouterName, List<ScheduleReply>> replies = new LinkedHashMap<>();
  private boolean flushPending;
  private boolean pollPending;
  private boolean tickPending;

  RequestScheduling(EventLoop loop, FleetState fleet, EventLog log, PeerLink link) {
    this.loop = requireNonNull(loop, "loop");
    this.fleet = requireNonNull(fleet, "fleet");
    this.log = requireNonNull(log, "log");
    this.link = requireNonNull(link, "link");
    self = fleet.members().self();
    client = SchedulerClient.of(fleet);
    service = SchedulerService.of(fleet);
  }

  SchedulerService service() {
    return service;
  }

  /** Returns the number of requests of this router's callers that wait or run. */
  int taskCount() {
    return tasks.size();
  }

  private void advanceTime() {
    fleet.advanceTo(System.nanoTime(), System.currentTimeMillis());
  }

  /** Submits a request; its task gets the decision at once or later. */
  void submit(Ticket ticket, RequestTask task) {
    advanceTime();
    tasks.put(ticket.number(), task);
    execute(client.submit(ticket));
    scheduleTick();
  }

  /** Withdraws a request that is no longer wanted. */
  void cancel(Ticket ticket) {
    advanceTime();
    tasks.remove(ticket.number());
    execute(client.cancel(ticket));
  }

  void recordFirstOutput(Ticket ticket, Duration elapsed) {
    advanceTime();
    execute(client.recordFirstOutput(ticket, elapsed));
  }

  void recordEnd(Ticket ticket, Outcome outcome) {
    advanceTime();
    tasks.remove(ticket.number());
    execute(client.recordEnd(ticket, outcome));
  }

  /** Takes over changes of the available routers. */
  void refresh() {
    advanceTime();
    client.refreshAssignment();
    service.upstreams().assign(client.assignment());
    service.expire();
    service.takeCrashes().forEach(this::logCrash);
    schedulePoll();
  }

  private void logCrash(UpstreamCrash crash) {
    log.line("upstream_crashed")
        .with("upstream", crash.upstream())
        .with("broken_off", crash.brokenOff())
        .with("suspects", crash.suspects().size())
        .with("requests", crash.suspects().stream().limit(MAX_LOGGED_SUSPECTS).toList())
        .write();
  }

  private void execute(List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof Action.Send send) {
        send(send.to(), send.request());
      } else if (action instanceof Action.Decide decide) {
        decide(decide.decision());
      }
    }
  }

  private void send(Member to, ScheduleRequest request) {
    if (to.name().equals(self.name())) {
      handle(self.name(), request);
    } else {
      addresses.putIfAbsent(to.name(), PeerLink.addressOf(to.peers()));
      requests.computeIfAbsent(to.name(), key -> new ArrayList<>()).add(request);
      scheduleFlush();
    }
  }

  private void decide(Decision decision) {
    long number = decision.ticket().number();
    RequestTask task =
        decision instanceof Decision.Refused ? tasks.remove(number) : tasks.get(number);
    if (task != null) {
      task.apply(decision);
    }
  }

  /** Handles a message for the scheduler of this router. */
  private void handle(RouterName from, ScheduleRequest request) {
    service.receive(from, request).forEach(this::reply);
    if (!(request instanceof ScheduleRequest.Submit)) {
      schedulePoll();
    }
    if (request instanceof ScheduleRequest.Sync && !from.equals(self.name())) {
      replies.computeIfAbsent(from, key -> new ArrayList<>());
      scheduleFlush();
    }
    scheduleTick();
  }

  private void reply(SchedulerService.Outgoing outgoing) {
    if (outgoing.to().equals(self.name())) {
      client.recordAnswer(self.name());
      execute(client.receive(self, outgoing.reply()));
    } else {
      replies.computeIfAbsent(outgoing.to(), key -> new ArrayList<>()).add(outgoing.reply());
      scheduleFlush();
    }
  }

  void receive(InetSocketAddress address, PeerMessage.Requests message) {
    advanceTime();
    addresses.put(message.sender(), address);
    message.requests().forEach(request -> handle(message.sender(), request));
  }

  void receive(InetSocketAddress address, PeerMessage.Replies message) {
    advanceTime();
    addresses.put(message.sender(), address);
    client.recordAnswer(message.sender());
    Optional<Member> sender = fleet.members().find(message.sender());
    if (sender.isEmpty()) {
      log.line("unknown_scheduler").with("name", message.sender()).write();
      return;
    }
    message.replies().forEach(reply -> execute(client.receive(sender.get(), reply)));
  }

  private void scheduleFlush() {
    if (!flushPending) {
      flushPending = true;
      loop.execute(log.guarded(this::flush));
    }
  }

  private void flush() {
    flushPending = false;
    requests.forEach(
        (to, messages) ->
            split(messages)
                .forEach(
                    part ->
                        link.send(addresses.get(to), new PeerMessage.Requests(self.name(), part))));
    requests.clear();
    replies.forEach(
        (to, messages) ->
            split(messages)
                .forEach(
                    part ->
                        link.send(addresses.get(to), new PeerMessage.Replies(self.name(), part))));
    replies.clear();
  }

  /** Splits messages into parts of one datagram each; an empty list is one part. */
  private static <T> List<List<T>> split(List<T> messages) {
    List<List<T>> parts = new ArrayList<>();
    for (int from = 0; from == 0 || from < messages.size(); from += MAX_MESSAGES_PER_DATAGRAM) {
      int to = Math.min(messages.size(), from + MAX_MESSAGES_PER_DATAGRAM);
      parts.add(messages.subList(from, to));
    }
    return parts;
  }

  /** Schedules new decisions on the waiting requests after the current events are handled. */
  void schedulePoll() {
    if (!pollPending && service.waitingCount() > 0) {
      pollPending = true;
      long wait = pollThrottle.waitNanos(System.nanoTime());
      if (wait == 0) {
        loop.execute(log.guarded(this::poll));
      } else {
        loop.schedule(log.guarded(this::poll), wait, TimeUnit.NANOSECONDS);
      }
    }
  }

  private void poll() {
    pollPending = false;
    if (service.waitingCount() == 0) {
      return;
    }
    advanceTime();
    long start = fleet.nowNanos();
    service.poll().forEach(this::reply);
    pollThrottle.recordPoll(start, System.nanoTime());
  }

  private void scheduleTick() {
    if (!tickPending && (client.hasSubmissions() || service.waitingCount() > 0)) {
      tickPending = true;
      loop.schedule(log.guarded(this::tick), TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void tick() {
    tickPending = false;
    advanceTime();
    try {
      execute(client.tick());
      service.upstreams().assign(client.assignment());
    } finally {
      schedulePoll();
      scheduleTick();
    }
  }
}
