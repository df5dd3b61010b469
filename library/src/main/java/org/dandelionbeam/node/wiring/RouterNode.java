package org.dandelionbeam.node.wiring;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.dandelionbeam.admin.wiring.AdminApi;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.MonotonicClock;
import org.dandelionbeam.claims.ClaimSettings;
import org.dandelionbeam.claims.wiring.ClaimManager;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.wiring.ConfigManager;
import org.dandelionbeam.dispatch.wiring.DispatchManager;
import org.dandelionbeam.entry.wiring.EntryContext;
import org.dandelionbeam.entry.wiring.EntryContext.ClosedReason;
import org.dandelionbeam.entry.wiring.EntryServer;
import org.dandelionbeam.explain.Journal;
import org.dandelionbeam.membership.wiring.HttpVmList;
import org.dandelionbeam.membership.wiring.MembershipManager;
import org.dandelionbeam.node.RouterSettings;
import org.dandelionbeam.peer.wiring.LinkFilter;
import org.dandelionbeam.peer.wiring.PeerMesh;
import org.dandelionbeam.runtime.EventThread;
import org.dandelionbeam.share.wiring.ShareManager;
import org.dandelionbeam.store.StoreRateLimiter;
import org.dandelionbeam.store.wiring.HttpPlatformStore;
import org.dandelionbeam.store.wiring.RateLimitedPlatformStore;
import org.dandelionbeam.upstream.wiring.UpstreamPoller;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Router node: creates the components of a router, connects them, and starts and stops them. */
public final class RouterNode implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(RouterNode.class);
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(1_500);
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(500);
  private static final Duration RESIGN_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration REFUSAL_PERIOD = Duration.ofMillis(250);
  private static final Duration MOVED_STREAMS_TIMEOUT = Duration.ofSeconds(2);
  private static final double FLEET_STORE_CALLS_PER_SECOND = 1_600;
  private static final double MAX_NODE_STORE_CALLS_PER_SECOND = 200;
  private static final double STORE_BURST_CALLS = 50;
  private static final int PEER_EVENT_LOOPS = 1;

  private final RouterSettings settings;
  private final MonotonicClock clock = MonotonicClock.system();
  private final PrometheusMeterRegistry meters =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Journal journal = Journal.of(Clock.systemUTC());
  private final SplittableRandom random;
  private final EventLoopGroup group;
  private final PeerMesh mesh;
  private final StoreRateLimiter storeRateLimiter;
  private final RateLimitedPlatformStore store;
  private final List<EventThread> threads = new ArrayList<>();
  private MembershipManager membership;
  private ConfigManager config;
  private ShareManager share;
  private DispatchManager dispatch;
  private ClaimManager claims;
  private UpstreamPoller poller;
  private EntryServer entry;
  private int callerPort;
  private final AtomicBoolean stopped = new AtomicBoolean();
  private volatile boolean stopping;

  private RouterNode(RouterSettings settings, LinkFilter links) {
    this.settings = settings;
    random = new SplittableRandom(settings.seed());
    group =
        new MultiThreadIoEventLoopGroup(
            PEER_EVENT_LOOPS,
            new DefaultThreadFactory("peer-" + settings.node(), true),
            NioIoHandler.newFactory());
    mesh = PeerMesh.of(settings.node(), settings.fleetKey(), group, links, meters);
    storeRateLimiter =
        StoreRateLimiter.of(
            random.split(),
            MAX_NODE_STORE_CALLS_PER_SECOND,
            STORE_BURST_CALLS,
            STORE_TIMEOUT.toNanos());
    store =
        RateLimitedPlatformStore.of(
            HttpPlatformStore.of(settings.platform(), STORE_TIMEOUT),
            storeRateLimiter,
            clock,
            meters);
  }

  /**
   * Starts a router.
   *
   * @param settings settings of the router
   * @return the running router; it accepts requests once it has a configuration and a roster
   */
  public static RouterNode start(RouterSettings settings) {
    return start(settings, (from, to) -> true);
  }

  /**
   * Starts a router whose messages to and from peers pass a filter.
   *
   * @param settings settings of the router
   * @param links decides which messages to and from peers pass
   * @return the running router
   */
  public static RouterNode start(RouterSettings settings, LinkFilter links) {
    RouterNode node = new RouterNode(requireNonNull(settings, "settings"), links);
    try {
      node.startComponents();
      return node;
    } catch (RuntimeException e) {
      node.stopComponents();
      throw e;
    }
  }

  /**
   * Returns the port for callers.
   *
   * @return the TCP port
   */
  public int callerPort() {
    return callerPort;
  }

  /**
   * Returns the settings.
   *
   * @return the settings that the router was started with
   */
  public RouterSettings settings() {
    return settings;
  }

  /**
   * Returns the registry of the metrics.
   *
   * @return the registry
   */
  public PrometheusMeterRegistry meters() {
    return meters;
  }

  /**
   * Returns the membership component.
   *
   * @return the component
   */
  public MembershipManager membership() {
    return membership;
  }

  /**
   * Returns the configuration component.
   *
   * @return the component
   */
  public ConfigManager config() {
    return config;
  }

  /**
   * Returns why the router accepts no requests.
   *
   * @return the reason, empty if the router accepts requests
   */
  public Optional<ClosedReason> closedReason() {
    if (stopping) {
      return Optional.of(new ClosedReason(ErrorCode.STOPPING, "the router is shutting down"));
    }
    if (config.current().isEmpty()) {
      return Optional.of(new ClosedReason(ErrorCode.NOT_READY, "no configuration yet"));
    }
    if (membership.epoch() == 0) {
      return Optional.of(new ClosedReason(ErrorCode.NOT_READY, "the router has no roster yet"));
    }
    return Optional.empty();
  }

  /**
   * Drains the router and stops it: new requests are refused, queued ones move to other owners, and
   * running ones may end within the drain timeout. Callers of streams that still run after it are
   * asked to resume through other routers. Until the port is closed, callers that still connect get
   * a refusal, and their connections are closed after it.
   */
  @Override
  public void close() {
    stopping = true;
    LOG.info("router {} drains", settings.node());
    membership.leave();
    dispatch.drain();
    boolean ended = Drain.within(settings.drainTimeout()).awaitZero(entry::openRequests);
    if (!ended) {
      entry.moveStreamsAway();
      ended = Drain.within(MOVED_STREAMS_TIMEOUT).awaitZero(entry::openRequests);
    }
    LOG.info(
        "router {} has {} open requests after draining", settings.node(), ended ? "no" : "some");
    Drain.await(claims.flush(), null, RESIGN_TIMEOUT);
    Drain.await(membership.resign(), null, RESIGN_TIMEOUT);
    entry.stopAccepting();
    Drain.pause(REFUSAL_PERIOD);
    stopComponents();
  }

  /**
   * Stops at once, as if the VM were lost: peers are not told about the requests that are cut off.
   * Does nothing if the router is already stopped.
   */
  public void kill() {
    stopping = true;
    if (stopped.compareAndSet(false, true)) {
      threads.forEach(EventThread::close);
      stopPeers();
      stopCallers();
    }
  }

  private void startComponents() {
    mesh.listen(settings.host(), settings.peerPort());
    startMembership();
    startConfig();
    startShare();
    startDispatch();
    claims = ClaimManager.of(startThread("claims"), store, ClaimSettings.defaults());
    poller = startPoller();
    startEntry();
    connectComponents();
    membership.start();
    config.start();
    new JvmMemoryMetrics().bindTo(meters);
  }

  private EventThread startThread(String component) {
    EventThread started = EventThread.start(component + "-" + settings.node());
    threads.add(started);
    return started;
  }

  private Configuration configuration() {
    return config == null
        ? Configuration.builder().build()
        : config.current().orElseGet(() -> Configuration.builder().build());
  }

  private void startMembership() {
    membership =
        MembershipManager.builder()
            .thread(startThread("membership"))
            .network(mesh)
            .store(store)
            .self(settings.node())
            .host(settings.host())
            .ports(settings.peerPort(), settings.callerPort())
            .domain(settings.domain())
            .seeds(settings.seeds())
            .configuration(this::configuration)
            .clock(clock)
            .random(random.split())
            .incarnation(System.currentTimeMillis())
            .vmList(HttpVmList.of(settings.platform()))
            .inFlight(upstream -> dispatch == null ? 0 : dispatch.inFlight(upstream))
            .journal(journal)
            .meters(meters)
            .build();
  }

  private void startConfig() {
    config =
        ConfigManager.builder()
            .thread(startThread("config"))
            .network(mesh)
            .ownership(membership)
            .store(store)
            .clock(clock)
            .random(random.split())
            .journal(journal)
            .meters(meters)
            .build();
  }

  private void startShare() {
    share =
        ShareManager.builder()
            .thread(startThread("share"))
            .network(mesh)
            .ownership(membership)
            .interval(REPORT_INTERVAL)
            .clock(clock)
            .incarnation(System.currentTimeMillis())
            .start();
  }

  private void startDispatch() {
    dispatch =
        DispatchManager.builder()
            .thread(startThread("dispatch"))
            .network(mesh)
            .ownership(membership)
            .configuration(this::configuration)
            .clock(clock)
            .random(random.split())
            .journal(journal)
            .meters(meters)
            .remoteUsage(share::remoteUsage)
            .usageListener(new UsageForwarder(share))
            .start();
  }

  private UpstreamPoller startPoller() {
    return UpstreamPoller.builder()
        .loop(group.next())
        .ownership(membership)
        .configuration(config::current)
        .random(random.split())
        .meters(meters)
        .listener(new EngineReportForwarder(dispatch))
        .start();
  }

  private void startEntry() {
    AdminApi admin =
        AdminApi.of(
            new AdminApi.Components(
                settings.node(), membership, config, store, journal, meters, this::closedReason));
    EntryContext context =
        new EntryContext(
            config::current,
            dispatch,
            claims,
            admin.routes(),
            domain -> AddressList.of(membership.addresses(domain)),
            this::closedReason,
            settings.fleetKey(),
            clock,
            random.split(),
            journal,
            meters);
    entry = EntryServer.of(context, "entry-" + settings.node());
    callerPort = entry.listen(settings.host(), settings.callerPort());
  }

  private void connectComponents() {
    config.onChange(
        configuration -> {
          membership.configurationChanged();
          dispatch.configurationChanged(configuration);
        });
    membership.onChange(
        () -> {
          int members = Math.max(1, membership.aliveMembers().size());
          double rate =
              Math.min(MAX_NODE_STORE_CALLS_PER_SECOND, FLEET_STORE_CALLS_PER_SECOND / members);
          store.changeRate(rate);
          dispatch.ownershipChanged();
        });
  }

  private void stopComponents() {
    if (stopped.compareAndSet(false, true)) {
      stopCallers();
      stopPeers();
    }
  }

  private void stopCallers() {
    if (entry != null) {
      entry.close();
    }
    threads.forEach(EventThread::close);
    meters.close();
  }

  private void stopPeers() {
    if (poller != null) {
      poller.close();
    }
    mesh.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
