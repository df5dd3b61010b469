package org.dandelionbeam.config.wiring;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.base.MonotonicClock;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.config.ApplyResult;
import org.dandelionbeam.config.ConfigAction;
import org.dandelionbeam.config.ConfigAction.Answer;
import org.dandelionbeam.config.ConfigAction.BringIntoForce;
import org.dandelionbeam.config.ConfigAction.ReadCurrent;
import org.dandelionbeam.config.ConfigAction.RecordEvent;
import org.dandelionbeam.config.ConfigAction.Send;
import org.dandelionbeam.config.ConfigAction.Watch;
import org.dandelionbeam.config.ConfigAction.Write;
import org.dandelionbeam.config.ConfigCodec.Prepared;
import org.dandelionbeam.config.ConfigDigest;
import org.dandelionbeam.config.ConfigNode;
import org.dandelionbeam.config.ConfigPull;
import org.dandelionbeam.config.ConfigStateMachine;
import org.dandelionbeam.config.ConfigStatus;
import org.dandelionbeam.config.ConfigUpdate;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.RolloutReport;
import org.dandelionbeam.explain.Journal;
import org.dandelionbeam.membership.Ownership;
import org.dandelionbeam.peer.PeerMessage;
import org.dandelionbeam.peer.PeerNetwork;
import org.dandelionbeam.runtime.EventThread;
import org.dandelionbeam.store.PlatformStore;
import org.dandelionbeam.store.PlatformStore.Versioned;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the {@link ConfigStateMachine} of a node on its own thread and performs its actions.
 * Thread-safe.
 */
public final class ConfigManager {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigManager.class);
  private static final String KEY = "config";
  private static final int TYPE_DIGEST = 60;
  private static final int TYPE_PULL = 61;
  private static final int TYPE_UPDATE = 62;
  private static final int TYPE_REPORT = 63;
  private static final Duration TICK_PERIOD = Duration.ofMillis(100);
  private static final Duration MEMBERS_PERIOD = Duration.ofSeconds(1);
  private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(1);
  // Expected by a compare-and-swap that must not write.
  private static final long UNREACHABLE_REVISION = Long.MAX_VALUE;
  private static final byte[] EMPTY = new byte[0];

  private final EventThread thread;
  private final PeerNetwork network;
  private final Ownership ownership;
  private final PlatformStore store;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final Journal journal;
  private final JsonConfigCodec codec = new JsonConfigCodec();
  private final ConfigStateMachine stateMachine;
  private final Map<String, CompletableFuture<ApplyResult>> pendingResults = new HashMap<>();
  private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
  private final AtomicLong revision;
  private volatile Optional<Configuration> current = Optional.empty();
  private List<NodeId> members = List.of();

  private ConfigManager(Builder builder) {
    thread = requireNonNull(builder.thread, "thread");
    network = requireNonNull(builder.network, "network");
    ownership = requireNonNull(builder.ownership, "ownership");
    store = requireNonNull(builder.store, "store");
    clock = requireNonNull(builder.clock, "clock");
    random = requireNonNull(builder.random, "random");
    journal = requireNonNull(builder.journal, "journal");
    stateMachine = ConfigStateMachine.of(ownership.self(), codec, random, clock.nanos());
    revision = builder.meters.gauge("dandelionbeam.config.revision", new AtomicLong());
  }

  /**
   * Creates a builder.
   *
   * @return a builder without any components
   */
  public static Builder builder() {
    return new Builder();
  }

  /** Registers the message types and starts the periodic work; to be called once. */
  public void start() {
    register(TYPE_DIGEST, ConfigDigest.class, (from, m) -> stateMachine.onDigest(from, m, now()));
    register(TYPE_PULL, ConfigPull.class, (from, m) -> stateMachine.onPull(from, m, now()));
    register(TYPE_UPDATE, ConfigUpdate.class, (from, m) -> stateMachine.onUpdate(from, m, now()));
    register(TYPE_REPORT, RolloutReport.class, stateMachine::onReport);
    thread.execute(this::readMembers);
    thread.every(MEMBERS_PERIOD, this::readMembers);
    thread.every(TICK_PERIOD, () -> perform(stateMachine.tick(now())));
  }

  /**
   * Returns the configuration in force on this node.
   *
   * @return the configuration, empty before the first one
   */
  public Optional<Configuration> current() {
    return current;
  }

  /**
   * Returns the revision in force on this node, which other messages to peers carry as well.
   *
   * @return the revision, 0 before the first one
   */
  public long revision() {
    return revision.get();
  }

  /**
   * Handles the revision that a message of a peer carried.
   *
   * @param peer id of the peer
   * @param inForce revision in force on the peer
   */
  public void onPeerRevision(NodeId peer, long inForce) {
    if (inForce > revision.get()) {
      thread.offer(() -> stateMachine.onPeerRevision(peer, inForce));
    }
  }

  /**
   * Adds a listener, called with the configuration in force, if any, and with each later one.
   *
   * @param listener called on the manager's thread; must not block
   */
  public void onChange(Consumer<Configuration> listener) {
    thread.execute(
        () -> {
          listeners.add(requireNonNull(listener, "listener"));
          current.ifPresent(configuration -> notifyListener(listener, configuration));
        });
  }

  /**
   * Applies a configuration to the whole fleet.
   *
   * @param tree merged configuration tree
   * @param expectedRevision revision that the change is based on, 0 for the first configuration
   * @return a future of the outcome, completed within about ten seconds
   */
  public CompletableFuture<ApplyResult> apply(ConfigNode tree, long expectedRevision) {
    CompletableFuture<ApplyResult> result = new CompletableFuture<>();
    Runnable begin =
        () -> {
          String change = HexFormat.of().toHexDigits(random.nextLong());
          pendingResults.put(change, result);
          perform(stateMachine.apply(change, expectedRevision, tree, now()));
        };
    if (!thread.offer(begin)) {
      result.completeExceptionally(overloaded());
    }
    return result;
  }

  /**
   * Returns what this node knows about the configuration in force.
   *
   * @return a future of the status
   */
  public CompletableFuture<ConfigStatus> status() {
    return query(() -> stateMachine.status(now()));
  }

  /**
   * Returns the merged configuration tree in force.
   *
   * @return a future of the tree, empty before the first configuration
   */
  public CompletableFuture<Optional<ConfigNode>> tree() {
    return query(() -> stateMachine.stored().map(stored -> codec.document(stored).tree()));
  }

  /**
   * Lists the differences between the configuration in force and another one.
   *
   * @param tree merged tree of the other configuration, without errors
   * @return a future of one line for each value that differs
   */
  public CompletableFuture<List<String>> diff(ConfigNode tree) {
    return query(() -> diffNow(tree));
  }

  private List<String> diffNow(ConfigNode tree) {
    byte[] inForce = stateMachine.stored().orElseGet(codec::encodedEmpty);
    if (codec.prepare(Optional.empty(), tree, "") instanceof Prepared.Ready ready) {
      return codec.diff(inForce, ready.stored());
    }
    throw new FleetException(ErrorCode.INVALID_CONFIG, "the configuration has errors");
  }

  private <T> CompletableFuture<T> query(Supplier<T> query) {
    CompletableFuture<T> result = new CompletableFuture<>();
    Runnable task =
        () -> {
          try {
            result.complete(query.get());
          } catch (RuntimeException e) {
            result.completeExceptionally(e);
          }
        };
    if (!thread.offer(task)) {
      result.completeExceptionally(overloaded());
    }
    return result;
  }

  private static FleetException overloaded() {
    return new FleetException(
        ErrorCode.STOPPING, "the event queue of the configuration manager is full or stopped");
  }

  private <M extends PeerMessage> void register(
      int type, Class<M> messageClass, BiFunction<NodeId, M, List<ConfigAction>> receive) {
    network.register(
        type,
        messageClass,
        (from, message) -> thread.offer(() -> perform(receive.apply(from, message))));
  }

  private void readMembers() {
    List<NodeId> alive = ownership.aliveMembers();
    if (alive != members && !alive.equals(members)) {
      members = alive;
      stateMachine.updateMembers(alive);
    }
  }

  private void perform(List<ConfigAction> actions) {
    actions.forEach(this::perform);
  }

  private void perform(ConfigAction action) {
    if (action instanceof Send send) {
      network.send(send.to(), send.message());
    } else if (action instanceof BringIntoForce next) {
      bringIntoForce(next.configuration());
    } else if (action instanceof Watch watch) {
      onCompletion(
          store.watch(KEY, watch.afterRevision(), WATCH_TIMEOUT),
          found -> stateMachine.onWatchCompleted(found.revision(), found.value(), now()),
          verdict -> stateMachine.onWatchFailed(now()));
    } else if (action instanceof ReadCurrent) {
      onCompletion(
          store.compareAndSwap(KEY, UNREACHABLE_REVISION, EMPTY),
          found ->
              stateMachine.onReadCompleted(
                  found.current().revision(), found.current().value(), now()),
          verdict -> stateMachine.onWatchFailed(now()));
    } else if (action instanceof Write write) {
      write(write);
    } else if (action instanceof Answer answer) {
      Optional.ofNullable(pendingResults.remove(answer.change()))
          .ifPresent(result -> result.complete(answer.result()));
    } else if (action instanceof RecordEvent recorded) {
      journal.recordEvent(recorded.event(), recorded.detail());
      LOG.info("{}: {}", recorded.event(), recorded.detail());
    }
  }

  private void write(Write write) {
    onCompletion(
        store.compareAndSwap(KEY, write.expectedRevision(), write.value()),
        result -> {
          Versioned found = result.current();
          String change = write.change();
          return stateMachine.onWriteCompleted(
              change, result.swapped(), found.revision(), found.value(), now());
        },
        verdict -> stateMachine.onWriteFailed(write.change(), verdict, now()));
  }

  private <T> void onCompletion(
      CompletableFuture<T> call,
      Function<T, List<ConfigAction>> success,
      Function<Verdict, List<ConfigAction>> failure) {
    call.whenComplete(
        (value, thrown) -> {
          Supplier<List<ConfigAction>> event =
              () -> thrown == null ? success.apply(value) : failure.apply(verdictOf(thrown));
          thread.execute(() -> perform(event.get()));
        });
  }

  private static Verdict verdictOf(Throwable thrown) {
    Throwable cause = thrown instanceof CompletionException ? thrown.getCause() : thrown;
    return cause instanceof FleetException known ? known.verdict() : Verdict.MAY_HAVE_RUN;
  }

  private void bringIntoForce(Configuration configuration) {
    current = Optional.of(configuration);
    revision.set(configuration.revision());
    listeners.forEach(listener -> notifyListener(listener, configuration));
  }

  private static void notifyListener(
      Consumer<Configuration> listener, Configuration configuration) {
    try {
      listener.accept(configuration);
    } catch (RuntimeException e) {
      LOG.error("configuration listener failed", e);
    }
  }

  private long now() {
    return clock.nanos();
  }

  /** Builds a {@link ConfigManager}; all components are required. */
  public static final class Builder {
    private EventThread thread;
    private PeerNetwork network;
    private Ownership ownership;
    private PlatformStore store;
    private MonotonicClock clock;
    private RandomGenerator random;
    private Journal journal;
    private MeterRegistry meters;

    private Builder() {}

    /**
     * Sets the thread that runs the manager's events.
     *
     * @param value a running thread
     * @return this builder
     */
    public Builder thread(EventThread value) {
      thread = value;
      return this;
    }

    /**
     * Sets the network that connects this node to its peers.
     *
     * @param value the network
     * @return this builder
     */
    public Builder network(PeerNetwork value) {
      network = value;
      return this;
    }

    /**
     * Sets the source of members and of this node's id.
     *
     * @param value view of the membership
     * @return this builder
     */
    public Builder ownership(Ownership value) {
      ownership = value;
      return this;
    }

    /**
     * Sets the platform's key-value store.
     *
     * @param value the store
     * @return this builder
     */
    public Builder store(PlatformStore value) {
      store = value;
      return this;
    }

    /**
     * Sets the clock.
     *
     * @param value monotonic clock
     * @return this builder
     */
    public Builder clock(MonotonicClock value) {
      clock = value;
      return this;
    }

    /**
     * Sets the source of randomness.
     *
     * @param value used on the manager's thread only
     * @return this builder
     */
    public Builder random(RandomGenerator value) {
      random = value;
      return this;
    }

    /**
     * Sets the journal.
     *
     * @param value receives the decisions that operators can read
     * @return this builder
     */
    public Builder journal(Journal value) {
      journal = value;
      return this;
    }

    /**
     * Sets the registry of metrics.
     *
     * @param value registry of the revision gauge
     * @return this builder
     */
    public Builder meters(MeterRegistry value) {
      meters = value;
      return this;
    }

    /**
     * Builds the manager.
     *
     * @return a manager that is not started yet
     */
    public ConfigManager build() {
      return new ConfigManager(this);
    }
  }
}
