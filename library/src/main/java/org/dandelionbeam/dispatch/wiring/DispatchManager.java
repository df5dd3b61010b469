package org.dandelionbeam.dispatch.wiring;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.MonotonicClock;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.dispatch.DispatchBatch;
import org.dandelionbeam.dispatch.DispatchNode;
import org.dandelionbeam.dispatch.DispatchPort;
import org.dandelionbeam.dispatch.OwnerPorts;
import org.dandelionbeam.dispatch.RemoteUsage;
import org.dandelionbeam.dispatch.TicketRequest;
import org.dandelionbeam.dispatch.UsageListener;
import org.dandelionbeam.explain.Journal;
import org.dandelionbeam.membership.Ownership;
import org.dandelionbeam.peer.PeerNetwork;
import org.dandelionbeam.runtime.EventThread;
import org.dandelionbeam.upstream.CacheEvent;
import org.dandelionbeam.upstream.CostEstimator;
import org.dandelionbeam.upstream.LoadReport;
import org.dandelionbeam.upstream.PrefixAffinity;

/**
 * Runs the entry side and the owner side of dispatch on one event thread.
 *
 * <p>When the event queue of the thread is full, new tickets are refused at once and messages of
 * peers are dropped, which the dispatch protocol tolerates; cancellations and completions are
 * deferred to the next tick.
 */
public final class DispatchManager implements DispatchPort, AutoCloseable {
  private static final int BATCH_TYPE = 10;
  private static final Duration TICK = Duration.ofMillis(20);
  private static final Duration FULL_RING_RETRY = Duration.ofSeconds(1);
  private static final int MAX_PREFIXES = 20_000;

  private final EventThread thread;
  private final PeerNetwork network;
  private final MonotonicClock clock;
  private final DispatchNode node;
  private final DispatchMeters meters;
  private final CachedPrefixes prefixes = new CachedPrefixes(PrefixAffinity.of(MAX_PREFIXES));
  private final Queue<Runnable> deferred = new ConcurrentLinkedQueue<>();
  private final AtomicReference<Configuration> pendingConfiguration = new AtomicReference<>();
  private final AtomicBoolean ownershipChanged = new AtomicBoolean(true);
  private volatile boolean open = true;
  private boolean flushScheduled;

  private DispatchManager(Builder builder) {
    thread = requireNonNull(builder.thread, "thread");
    network = requireNonNull(builder.network, "network");
    clock = requireNonNull(builder.clock, "clock");
    Configuration configuration = requireNonNull(builder.configuration, "configuration").get();
    Journal journal = requireNonNull(builder.journal, "journal");
    MeterRegistry registry = requireNonNull(builder.meters, "meters");
    meters = new DispatchMeters(registry, builder.usageListener, configuration);
    registry
        .more()
        .counter("dandelionbeam.dispatch.dropped", List.of(), thread, EventThread::dropped);
    OwnerPorts ports =
        new OwnerPorts(
            requireNonNull(builder.ownership, "ownership"),
            UpstreamWindow::of,
            new MeasuredCosts(CostEstimator.of()),
            builder.remoteUsage,
            prefixes,
            meters);
    node = DispatchNode.of(configuration, ports, journal::recordRequest, builder.random);
  }

  /**
   * Returns a builder.
   *
   * @return a builder without values
   */
  public static Builder builder() {
    return new Builder();
  }

  @Override
  public void submit(TicketRequest ticket, Listener listener) {
    requireNonNull(ticket, "ticket");
    requireNonNull(listener, "listener");
    if (!thread.offer(() -> run(now -> node.submit(ticket, listener, now)))) {
      String detail = "the event queue of the router is full";
      listener.refused(new Refusal(ErrorCode.QUEUE_FULL, detail, FULL_RING_RETRY));
    }
  }

  @Override
  public void cancel(RequestId request, int attempt) {
    offerOrDefer(() -> run(now -> node.cancel(request, attempt, now)));
  }

  @Override
  public void complete(Completion completion) {
    requireNonNull(completion, "completion");
    offerOrDefer(() -> run(now -> node.complete(completion, now)));
  }

  /**
   * Applies a new configuration on the event thread.
   *
   * @param configuration the configuration
   */
  public void configurationChanged(Configuration configuration) {
    pendingConfiguration.set(requireNonNull(configuration, "configuration"));
    thread.offer(() -> run(this::applyChanges));
  }

  /** Reads again on the event thread which node owns which upstream and which nodes are alive. */
  public void ownershipChanged() {
    ownershipChanged.set(true);
    thread.offer(() -> run(this::applyChanges));
  }

  /**
   * Adjusts the window of an owned upstream to its load report.
   *
   * @param upstream the upstream
   * @param report load that the upstream reported
   */
  public void loadReported(UpstreamId upstream, LoadReport report) {
    requireNonNull(report, "report");
    thread.offer(
        () ->
            node.owner()
                .window(upstream)
                .filter(UpstreamWindow.class::isInstance)
                .map(UpstreamWindow.class::cast)
                .ifPresent(window -> window.loadReported(report, clock.nanos())));
  }

  /**
   * Updates which prefixes an engine has in its cache.
   *
   * @param event cache event of the engine
   */
  public void cacheChanged(CacheEvent event) {
    requireNonNull(event, "event");
    thread.offer(() -> prefixes.prefixes().apply(event, clock.nanos()));
  }

  /**
   * Returns the number of attempts that this node granted on an upstream and that have not ended.
   *
   * @param upstream the upstream
   * @return the count, safe on any thread
   */
  public int inFlight(UpstreamId upstream) {
    return node.owner().inFlightCounts().count(upstream);
  }

  /**
   * Refuses the tickets that wait at this owner, so that their entries ask other owners, and
   * accepts no more.
   */
  public void drain() {
    offerOrDefer(() -> run(node::drain));
  }

  /** Stops handling events; the thread itself belongs to the caller. */
  @Override
  public void close() {
    open = false;
  }

  private void start() {
    network.register(
        BATCH_TYPE,
        DispatchBatch.class,
        (from, batch) -> thread.offer(() -> run(now -> node.received(from, batch, now))));
    thread.every(TICK, () -> run(this::tick));
  }

  private void tick(long nowNanos) {
    for (Runnable event = deferred.poll(); event != null; event = deferred.poll()) {
      event.run();
    }
    applyChanges(nowNanos);
    node.tick(nowNanos);
    meters.setTicketCounts(node.entry().waiting(), node.entry().running());
    flush();
  }

  private void applyChanges(long nowNanos) {
    Configuration configuration = pendingConfiguration.getAndSet(null);
    if (configuration != null) {
      meters.configurationChanged(configuration);
      node.configurationChanged(configuration, nowNanos);
    }
    if (ownershipChanged.getAndSet(false)) {
      node.ownershipChanged(nowNanos);
    }
  }

  private void offerOrDefer(Runnable event) {
    if (!thread.offer(event)) {
      deferred.add(event);
    }
  }

  /**
   * Handles an event. Messages are sent after the events that are already queued, so that those
   * share a batch.
   */
  private void run(TimedEvent event) {
    if (!open) {
      return;
    }
    event.run(clock.nanos());
    if (!flushScheduled && node.hasOutput()) {
      flushScheduled = thread.offer(this::flush);
    }
  }

  private void flush() {
    flushScheduled = false;
    node.flush((NodeId to, DispatchBatch batch) -> network.send(to, batch));
  }

  /** Event that is handled at a monotonic time. */
  @FunctionalInterface
  private interface TimedEvent {
    void run(long nowNanos);
  }

  /** Builds a dispatch manager. */
  public static final class Builder {
    private EventThread thread;
    private PeerNetwork network;
    private Ownership ownership;
    private Supplier<Configuration> configuration;
    private MonotonicClock clock = MonotonicClock.system();
    private RandomGenerator random = RandomGenerator.getDefault();
    private Journal journal;
    private MeterRegistry meters;
    private RemoteUsage remoteUsage = RemoteUsage.none();
    private UsageListener usageListener = UsageListener.none();

    private Builder() {}

    /**
     * Sets the thread.
     *
     * @param value event thread of the manager
     * @return this builder
     */
    public Builder thread(EventThread value) {
      thread = requireNonNull(value, "value");
      return this;
    }

    /**
     * Sets the network.
     *
     * @param value network to the other routers
     * @return this builder
     */
    public Builder network(PeerNetwork value) {
      network = requireNonNull(value, "value");
      return this;
    }

    /**
     * Sets the source of ownership.
     *
     * @param value ownership of upstreams as membership knows it
     * @return this builder
     */
    public Builder ownership(Ownership value) {
      ownership = requireNonNull(value, "value");
      return this;
    }

    /**
     * Sets the source of the first configuration.
     *
     * @param value supplies the configuration in force
     * @return this builder
     */
    public Builder configuration(Supplier<Configuration> value) {
      configuration = requireNonNull(value, "value");
      return this;
    }

    /**
     * Sets the clock.
     *
     * @param value source of monotonic time
     * @return this builder
     */
    public Builder clock(MonotonicClock value) {
      clock = requireNonNull(value, "value");
      return this;
    }

    /**
     * Sets the source of randomness.
     *
     * @param value source that is used on the event thread only
     * @return this builder
     */
    public Builder random(RandomGenerator value) {
      random = requireNonNull(value, "value");
      return this;
    }

    /**
     * Sets the journal of decisions on requests.
     *
     * @param value receives why a ticket waited and which owner it was sent to
     * @return this builder
     */
    public Builder journal(Journal value) {
      journal = requireNonNull(value, "value");
      return this;
    }

    /**
     * Sets the meter registry.
     *
     * @param value registry for histograms, gauges and counters
     * @return this builder
     */
    public Builder meters(MeterRegistry value) {
      meters = requireNonNull(value, "value");
      return this;
    }

    /**
     * Sets the source of usage at other owners.
     *
     * @param value cumulative usage, called on the event thread
     * @return this builder
     */
    public Builder remoteUsage(RemoteUsage value) {
      remoteUsage = requireNonNull(value, "value");
      return this;
    }

    /**
     * Sets the listener for usage.
     *
     * @param value receives the usage of teams at this owner, on the event thread
     * @return this builder
     */
    public Builder usageListener(UsageListener value) {
      usageListener = requireNonNull(value, "value");
      return this;
    }

    /**
     * Builds and starts the manager.
     *
     * @return the running manager
     */
    public DispatchManager start() {
      DispatchManager manager = new DispatchManager(this);
      manager.start();
      return manager;
    }
  }
}
