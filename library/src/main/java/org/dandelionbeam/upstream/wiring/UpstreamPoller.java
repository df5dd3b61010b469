package org.dandelionbeam.upstream.wiring;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.membership.Ownership;
import org.dandelionbeam.upstream.CacheEvent;
import org.dandelionbeam.upstream.LoadReport;
import org.dandelionbeam.upstream.OwnedEngines;

/**
 * Polls the load and the cache events of the engines that this node owns, about once a second.
 *
 * <p>At most one call to an engine is open at a time. A call that fails, or whose response does not
 * have the expected form, produces no report and only increments a failure counter.
 */
public final class UpstreamPoller implements AutoCloseable {
  private static final Duration DEFAULT_PERIOD = Duration.ofSeconds(1);
  private static final double JITTER_SHARE = 0.2;
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(800);
  private static final int MAX_OPEN_CALLS = 16;

  private final EventLoop loop;
  private final EngineClient client;
  private final OwnedEngines ownedEngines;
  private final Supplier<Optional<Configuration>> configuration;
  private final RandomGenerator random;
  private final Duration period;
  private final Listener listener;
  private final Counter polls;
  private final Counter loadFailures;
  private final Counter eventFailures;
  private final Map<UpstreamId, CacheEventCursor> cursors = new HashMap<>();
  private final Set<UpstreamId> openPolls = new HashSet<>();
  private final Deque<Upstream> waiting = new ArrayDeque<>();
  private boolean closed;

  private UpstreamPoller(Builder builder) {
    loop = requireNonNull(builder.loop, "loop");
    client = EngineClient.of(loop);
    ownedEngines = OwnedEngines.of(requireNonNull(builder.ownership, "ownership"));
    configuration = requireNonNull(builder.configuration, "configuration");
    random = requireNonNull(builder.random, "random");
    period = builder.period;
    listener = requireNonNull(builder.listener, "listener");
    MeterRegistry meters = requireNonNull(builder.meters, "meters");
    polls = meters.counter("dandelionbeam.upstream.polls");
    loadFailures = meters.counter("dandelionbeam.upstream.poll.failures", "call", "load");
    eventFailures = meters.counter("dandelionbeam.upstream.poll.failures", "call", "cache-events");
  }

  /**
   * Returns a builder of a poller.
   *
   * @return an empty builder
   */
  public static Builder builder() {
    return new Builder();
  }

  @Override
  public void close() {
    loop.execute(() -> closed = true);
    client.close();
  }

  private void scheduleRound(double periodShare) {
    long delay = (long) (period.toNanos() * periodShare);
    loop.schedule(this::runRound, delay, TimeUnit.NANOSECONDS);
  }

  private void runRound() {
    if (closed) {
      return;
    }
    scheduleRound(1 - JITTER_SHARE + 2 * JITTER_SHARE * random.nextDouble());
    configuration.get().ifPresent(this::queueOwned);
    startWaitingPolls();
  }

  private void queueOwned(Configuration current) {
    List<Upstream> owned = ownedEngines.refresh(current);
    cursors.keySet().retainAll(owned.stream().map(Upstream::id).collect(Collectors.toSet()));
    waiting.clear();
    owned.stream().filter(engine -> !openPolls.contains(engine.id())).forEach(waiting::add);
  }

  private void startWaitingPolls() {
    while (openPolls.size() < MAX_OPEN_CALLS && !waiting.isEmpty()) {
      Upstream engine = waiting.poll();
      openPolls.add(engine.id());
      readLoad(engine);
    }
  }

  private void readLoad(Upstream engine) {
    polls.increment();
    client
        .read(addressOf(engine), EngineState.PATH, CALL_TIMEOUT)
        .thenApply(reply -> handleLoad(engine, reply))
        .exceptionally(failure -> false)
        .thenAccept(
            accepted -> {
              if (!accepted) {
                loadFailures.increment();
              }
              readEvents(engine);
            });
  }

  private boolean handleLoad(Upstream engine, EngineReply reply) {
    Map<String, ModelId> names = configuration.get().map(Configuration::models).orElseGet(Map::of);
    Optional<EngineState> state = EngineState.of(reply, names);
    state.ifPresent(
        read -> {
          listener.loadReported(engine.id(), read.load());
          read.models().ifPresent(models -> listener.modelsReported(engine.id(), models));
        });
    return state.isPresent();
  }

  private void readEvents(Upstream engine) {
    CacheEventCursor cursor = cursors.computeIfAbsent(engine.id(), CacheEventCursor::new);
    if (!cursor.isDue()) {
      finishPoll(engine);
      return;
    }
    client
        .read(addressOf(engine), cursor.path(), CALL_TIMEOUT)
        .thenApply(reply -> handleEvents(cursor, reply))
        .exceptionally(failure -> false)
        .thenAccept(
            accepted -> {
              if (!accepted) {
                eventFailures.increment();
                cursor.failed();
              }
              finishPoll(engine);
            });
  }

  private boolean handleEvents(CacheEventCursor cursor, EngineReply reply) {
    Optional<List<CacheEvent>> events = cursor.advance(reply);
    events.filter(newEvents -> !newEvents.isEmpty()).ifPresent(listener::cacheChanged);
    return events.isPresent();
  }

  private void finishPoll(Upstream engine) {
    openPolls.remove(engine.id());
    startWaitingPolls();
  }

  private static InetSocketAddress addressOf(Upstream engine) {
    return new InetSocketAddress(engine.host(), engine.port());
  }

  /** Receives what engines report, on the event loop of the poller; it must not block. */
  public interface Listener {

    /**
     * Handles the load report of an engine.
     *
     * @param engine the engine
     * @param report its load, which may lag behind
     */
    void loadReported(UpstreamId engine, LoadReport report);

    /**
     * Handles the list of models that an engine has loaded.
     *
     * @param engine the engine
     * @param models the loaded models; names that the configuration does not have are left out
     */
    void modelsReported(UpstreamId engine, Set<ModelId> models);

    /**
     * Handles changes of the prefix cache of an engine.
     *
     * @param events new events of one engine in order; some may be missing
     */
    void cacheChanged(List<CacheEvent> events);
  }

  /** Builder of an {@link UpstreamPoller}; all settings but the period are required. */
  public static final class Builder {
    private EventLoop loop;
    private Ownership ownership;
    private Supplier<Optional<Configuration>> configuration;
    private RandomGenerator random;
    private MeterRegistry meters;
    private Listener listener;
    private Duration period = DEFAULT_PERIOD;

    private Builder() {}

    /**
     * Sets the event loop of the poller and its connections.
     *
     * @param value the event loop
     * @return this builder
     */
    public Builder loop(EventLoop value) {
      loop = value;
      return this;
    }

    /**
     * Sets the source of engine ownership.
     *
     * @param value the ownership
     * @return this builder
     */
    public Builder ownership(Ownership value) {
      ownership = value;
      return this;
    }

    /**
     * Sets the source of the configuration.
     *
     * @param value supplier of the configuration in force, empty before the first one is loaded
     * @return this builder
     */
    public Builder configuration(Supplier<Optional<Configuration>> value) {
      configuration = value;
      return this;
    }

    /**
     * Sets the source of random numbers for the jitter of the rounds.
     *
     * @param value used on the event loop only
     * @return this builder
     */
    public Builder random(RandomGenerator value) {
      random = value;
      return this;
    }

    /**
     * Sets the registry for the counters.
     *
     * @param value the registry
     * @return this builder
     */
    public Builder meters(MeterRegistry value) {
      meters = value;
      return this;
    }

    /**
     * Sets the listener that receives reports and events.
     *
     * @param value the listener
     * @return this builder
     */
    public Builder listener(Listener value) {
      listener = value;
      return this;
    }

    /**
     * Sets the mean time between two polling rounds.
     *
     * @param value the period; one second by default
     * @return this builder
     */
    public Builder period(Duration value) {
      period = requireNonNull(value, "value");
      return this;
    }

    /**
     * Starts a poller; its first round starts within one period.
     *
     * @return the running poller
     */
    public UpstreamPoller start() {
      UpstreamPoller poller = new UpstreamPoller(this);
      poller.loop.execute(() -> poller.scheduleRound(poller.random.nextDouble()));
      return poller;
    }
  }
}
