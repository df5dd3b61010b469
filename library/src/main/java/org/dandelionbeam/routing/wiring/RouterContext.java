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
import org.dandelionbeam.routing.DrainWindow;
import org.dandelionbeam.routing.FleetState;
import org.dandelionbeam.routing.RoutingTable;
import org.dandelionbeam.routing.Scheduler;

/** What the connections of a router share. Lives on one event loop. */
final class RouterContext {
  /** One request in so many is logged although it went well. */
  private static final int REQUESTS_PER_LOG_SAMPLE = 100;

  /** Bodies of requests that are held at once; a third of the heap that the deploy file gives. */
  private static final long MAX_RESERVED_BODY_BYTES = 24L << 20;

  private final EventLoop loop;
  private final FleetState fleet;
  private final Scheduler scheduler;
  private final HttpDialect dialect;
  private final UpstreamConnectionPool pool;
  private final EventLog log;
  private final RouterMetrics metrics;
  private final SplittableRandom random = new SplittableRandom();
  private final Map<Long, RequestTask> waiting = new HashMap<>();
  private final Set<CallerConnection> connections = new HashSet<>();
  private long reservedBodyBytes;
  private long lastTicketNumber;
  private final PollThrottle pollThrottle = new PollThrottle(System.nanoTime());
  private boolean pollPending;
  private boolean reportPending;
  private Runnable loadReporter = () -> {};
  private Optional<DrainWindow> drainWindow = Optional.empty();

  RouterContext(
      EventLoop loop,
      FleetState fleet,
      HttpDialect dialect,
      UpstreamConnectionPool pool,
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

  UpstreamConnectionPool pool() {
    return pool;
  }

  EventLog log() {
    return log;
  }

  RouterMetrics metrics() {
    return metrics;
  }

  Set<CallerConnection> connections() {
    return connections;
  }

  CallerLimits limits() {
    return fleet.table().map(RoutingTable::limits).orElse(CallerLimits.DEFAULT);
  }

  /** Takes room for a part of a body, false if too much is held already. */
  boolean tryReserveBody(int bytes) {
    if (reservedBodyBytes + bytes > MAX_RESERVED_BODY_BYTES) {
      return false;
    }
    reservedBodyBytes += bytes;
    return true;
  }

  void releaseBody(int bytes) {
    reservedBodyBytes -= bytes;
  }

  long now() {
    return System.nanoTime();
  }

  /** Moves the time of the decisions on, and returns it. */
  long advanceTime() {
    long now = now();
    fleet.advanceTo(now);
    return now;
  }

  long nextTicketNumber() {
    lastTicketNumber++;
    return lastTicketNumber;
  }

  int random(int bound) {
    return random.nextInt(bound);
  }

  boolean drawLogSample() {
    return random.nextInt(REQUESTS_PER_LOG_SAMPLE) == 0;
  }

  boolean isDraining() {
    return drainWindow.isPresent();
  }

  void startDraining(DrainWindow window) {
    drainWindow = Optional.of(window);
  }

  /** Tells whether a request that takes so long may be taken, as this router may be leaving. */
  boolean accepts(Duration expected) {
    return drainWindow.map(window -> window.accepts(expected, now())).orElse(true);
  }

  /** Sets what tells the peers of changed work. */
  void onLoadChange(Runnable newReporter) {
    loadReporter = newReporter;
  }

  /** Lets the peers know of changed work once the events at hand are handled. */
  void scheduleLoadReport() {
    if (!reportPending) {
      reportPending = true;
      loop.execute(
          () -> {
            reportPending = false;
            loadReporter.run();
          });
    }
  }

  /** Keeps a request until the scheduler decides on it. */
  void addWaiting(long ticket, RequestTask task) {
    waiting.put(ticket, task);
  }

  void removeWaiting(long ticket) {
    waiting.remove(ticket);
  }

  /** Lets the scheduler decide again once the events at hand are handled. */
  void schedulePoll() {
    if (!pollPending && !waiting.isEmpty()) {
      pollPending = true;
      long wait = pollThrottle.waitNanos(now());
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
    if (waiting.isEmpty() || pollThrottle.waitNanos(now()) > 0) {
      return;
    }
    long start = advanceTime();
    List<Decision> decisions = scheduler.poll();
    pollThrottle.recordPoll(start, now());
    for (Decision decision : decisions) {
      RequestTask task = waiting.remove(decision.ticket().number());
      if (task != null) {
        task.apply(decision);
      }
    }
  }
}
