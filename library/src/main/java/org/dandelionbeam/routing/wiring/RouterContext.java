package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.dandelionbeam.routing.CallerLimits;
import org.dandelionbeam.routing.ConnectionLimit;
import org.dandelionbeam.routing.DrainWindow;
import org.dandelionbeam.routing.FleetState;
import org.dandelionbeam.routing.MemoryBudget;
import org.dandelionbeam.routing.RoutingTable;
import org.dandelionbeam.routing.ServiceName;

/** State shared by the connections of a router. Confined to one event loop. */
final class RouterContext {
  /** One of this many successful requests is logged. */
  private static final int REQUESTS_PER_LOG_SAMPLE = 100;

  /** A third of the heap that the deployment file sets. */
  private static final long MAX_HELD_BYTES = 24L << 20;

  /** Keeps the ticket numbers of a router apart from those before its restart. */
  private static final int TICKET_NUMBER_BITS = 20;

  private final EventLoop loop;
  private final FleetState fleet;
  private final ConnectionLimit connectionLimit;
  private final RequestScheduling scheduling;
  private final HttpDialect dialect;
  private final UpstreamConnectionPool pool;
  private final EventLog log;
  private final RouterMetrics metrics;
  private final UpstreamFeedback feedback = new UpstreamFeedback(this);
  private final SplittableRandom random = new SplittableRandom();
  private final Set<CallerConnection> connections = new HashSet<>();
  private long acceptedConnections;
  private final MemoryBudget memory = MemoryBudget.of(MAX_HELD_BYTES);
  private Optional<StreamResumption> resumption = Optional.empty();
  private long lastTicketNumber;
  private Optional<DrainWindow> drainWindow = Optional.empty();

  RouterContext(
      EventLoop loop,
      FleetState fleet,
      ConnectionLimit connectionLimit,
      RequestScheduling scheduling,
      HttpDialect dialect,
      UpstreamConnectionPool pool,
      EventLog log,
      RouterMetrics metrics) {
    this.loop = requireNonNull(loop, "loop");
    this.fleet = requireNonNull(fleet, "fleet");
    this.connectionLimit = requireNonNull(connectionLimit, "connectionLimit");
    this.scheduling = requireNonNull(scheduling, "scheduling");
    this.dialect = requireNonNull(dialect, "dialect");
    this.pool = requireNonNull(pool, "pool");
    this.log = requireNonNull(log, "log");
    this.metrics = requireNonNull(metrics, "metrics");
    lastTicketNumber = fleet.members().self().incarnation() << TICKET_NUMBER_BITS;
  }

  EventLoop loop() {
    return loop;
  }

  FleetState fleet() {
    return fleet;
  }

  RequestScheduling scheduling() {
    return scheduling;
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

  /** Returns what tells where streams may go on. */
  StreamResumption resumption() {
    return resumption.orElseThrow();
  }

  void resumption(StreamResumption newResumption) {
    resumption = Optional.of(newResumption);
  }

  UpstreamFeedback feedback() {
    return feedback;
  }

  Set<CallerConnection> connections() {
    return connections;
  }

  /** Adds a connection that a caller has opened. */
  void addConnection(CallerConnection connection) {
    connections.add(connection);
    acceptedConnections++;
  }

  /** Returns the number of connections that callers have opened. */
  long acceptedConnections() {
    return acceptedConnections;
  }

  /** Tells whether a caller may keep its connection after a response. */
  boolean mayKeepConnection() {
    return !isDraining() && connectionLimit.mayKeep(connections.size());
  }

  /** Returns how many connections should be closed as soon as they are idle. */
  int excessConnections() {
    return connectionLimit.excess(connections.size());
  }

  CallerLimits limits() {
    return fleet.table().map(RoutingTable::limits).orElse(CallerLimits.DEFAULT);
  }

  MemoryBudget memory() {
    return memory;
  }

  long now() {
    return System.nanoTime();
  }

  /** Sets the time of the fleet state to the current time, and returns it. */
  long advanceTime() {
    long now = now();
    fleet.advanceTo(now, System.currentTimeMillis());
    return now;
  }

  long nextTicketNumber() {
    lastTicketNumber++;
    return lastTicketNumber;
  }

  int random(int bound) {
    return random.nextInt(bound);
  }

  /** Returns a number from 0 to below 1. */
  double randomFraction() {
    return random.nextDouble();
  }

  /** Takes a retry at a service from the budget of the fleet; returns false if none is left. */
  boolean tryAcquireRetry(ServiceName service) {
    return fleet.retryBudget().tryAcquire(service, fleet.members().all().size(), now());
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

  /** Tells whether a request may be accepted, which a draining router may refuse. */
  boolean accepts(Duration expected, long deadlineNanos) {
    return drainWindow.map(window -> window.accepts(expected, deadlineNanos, now())).orElse(true);
  }

  /** Tells whether an accepted request may still be sent to an upstream. */
  boolean mayStart(Duration expected, long deadlineNanos) {
    return drainWindow.map(window -> window.mayStart(expected, deadlineNanos, now())).orElse(true);
  }
}
