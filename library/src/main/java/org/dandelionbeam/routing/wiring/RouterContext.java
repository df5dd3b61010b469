package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.routing.CallerLimits;
import org.dandelionbeam.routing.Decision;
import org.dandelionbeam.routing.FleetState;
import org.dandelionbeam.routing.LeaveWindow;
import org.dandelionbeam.routing.RoutingTable;
import org.dandelionbeam.routing.Scheduler;

/** What the connections of a router share. Lives on one event loop. */
final class RouterContext {
  /** One request in so many is logged although it went well. */
  private static final int SAMPLE = 100;

  /** Bodies of requests that are held at once; a third of the heap that the deploy file gives. */
  private static final long MAX_HELD_BODY_BYTES = 24L << 20;

  private final EventLoop loop;
  private final FleetState fleet;
  private final Scheduler scheduler;
  private final HttpDialect dialect;
  private final UpstreamPool pool;
  private final EventLog log;
  private final RouterMetrics metrics;
  private final SplittableRandom random = new SplittableRandom();
  private final Map<Long, RequestTask> waiting = new HashMap<>();
  private final Set<CallerSession> sessions = new HashSet<>();
  private long heldBodyBytes;
  private long tickets;
  private final PollPace pollPace = new PollPace(System.nanoTime());
  private boolean pollPending;
  private boolean reportPending;
  private Runnable reporter = () -> {};
  private Optional<LeaveWindow> leaving = Optional.empty();

  RouterContext(
      EventLoop loop,
      FleetState fleet,
      HttpDialect dialect,
      UpstreamPool pool,
      EventLog log,
      RouterMetrics metrics) {
    this.loop = requireNonNull(loop, "loop");
    this.fleet = requireNonNull(fleet, "fleet");
    this.dialect = requireNonNull(dialect, "dialect");
    this.pool = requireNonNull(pool, "pool");
    this.log = requireNonNull(log, "log");
    this.metrics = requireNonNull(metrics, "metrics");
    scheduler = Scheduler.of(fleet, fleet.members().self().domain());
  }

  EventLoop loop() {
    return loop;
  }

  FleetState fleet() {
    return fleet;
  }

  Scheduler scheduler() {
    return scheduler;
  }

  HttpDialect dialect() {
    return dialect;
  }

  UpstreamPool pool() {
    return pool;
  }

  EventLog log() {
    return log;
  }

  RouterMetrics metrics() {
    return metrics;
  }

  Set<CallerSession> sessions() {
    return sessions;
  }

  CallerLimits limits() {
    return fleet.table().map(RoutingTable::limits).orElse(CallerLimits.DEFAULT);
  }

  /** Takes room for a part of a body, false if too much is held already. */
  boolean tryHoldBody(int bytes) {
    if (heldBodyBytes + bytes > MAX_HELD_BODY_BYTES) {
      return false;
    }
    heldBodyBytes += bytes;
    return true;
  }

  void releaseBody(int bytes) {
    heldBodyBytes -= bytes;
  }

  long now() {
    return System.nanoTime();
  }

  /** Moves the time of the decisions on, and returns it. */
  long tick() {
    long now = now();
    fleet.at(now);
    return now;
  }

  long nextTicket() {
    tickets++;
    return tickets;
  }

  int random(int bound) {
    return random.nextInt(bound);
  }

  boolean drawSample() {
    return random.nextInt(SAMPLE) == 0;
  }

  boolean isLeaving() {
    return leaving.isPresent();
  }

  void leave(LeaveWindow window) {
    leaving = Optional.of(window);
  }

  /** Tells whether a request that takes so long may be taken, as this router may be leaving. */
  boolean takes(Duration expected) {
    return leaving.map(window -> window.takes(expected, now())).orElse(true);
  }

  /** Sets what tells the peers of changed work. */
  void onLoadChange(Runnable newReporter) {
    reporter = newReporter;
  }

  /** Lets the peers know of changed work once the events at hand are handled. */
  void loadChanged() {
    if (!reportPending) {
      reportPending = true;
      loop.execute(
          () -> {
            reportPending = false;
            reporter.run();
          });
    }
  }

  /** Keeps a request until the scheduler decides on it. */
  void await(long ticket, RequestTask task) {
    waiting.put(ticket, task);
  }

  void forget(long ticket) {
    waiting.remove(ticket);
  }

  /** Lets the scheduler decide again once the events at hand are handled. */
  void pollSoon() {
    if (!pollPending && !waiting.isEmpty()) {
      pollPending = true;
      long wait = pollPace.waitNanos(now());
      if (wait == 0) {
        loop.execute(this::poll);
      } else {
        loop.schedule(this::poll, wait, TimeUnit.NANOSECONDS);
      }
    }
  }

  /** Lets the scheduler decide again on the requests that wait. */
  void poll() {
    pollPending = false;
    if (waiting.isEmpty() || pollPace.waitNanos(now()) > 0) {
      return;
    }
    long start = tick();
    List<Decision> decisions = scheduler.poll();
    pollPace.polled(start, now());
    for (Decision decision : decisions) {
      RequestTask task = waiting.remove(decision.ticket().number());
      if (task != null) {
        task.decide(decision);
      }
    }
  }
}
