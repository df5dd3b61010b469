package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.resumption.OriginStore;
import org.dandelionbeam.routing.AddressSelector;
import org.dandelionbeam.routing.BlameStore;
import org.dandelionbeam.routing.ConnectionLimit;
import org.dandelionbeam.routing.Endpoint;
import org.dandelionbeam.routing.FleetMembers;
import org.dandelionbeam.routing.FleetState;
import org.dandelionbeam.routing.InstanceId;
import org.dandelionbeam.routing.RoutingTable;
import org.dandelionbeam.routing.StaleStateDetector;
import org.dandelionbeam.routing.StoreData;
import org.dandelionbeam.routing.StoreSnapshots;
import org.dandelionbeam.routing.StoreVersions;
import org.dandelionbeam.routing.Suspect;
import org.dandelionbeam.routing.TeamShareMonitor;
import org.dandelionbeam.routing.UpstreamDirectory;
import org.dandelionbeam.summary.SummaryExchange;

/**
 * A router, which accepts requests of callers, forwards them to upstreams and exchanges reports
 * with its peers. Confined to one event loop; its methods must be called there.
 */
public final class FleetRouter {
  /** Short compared to the time in which the usage of teams changes. */
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(100);

  private static final Duration STALE_CHECK_INTERVAL = Duration.ofMillis(100);
  private static final Duration QUEUE_LOG_INTERVAL = Duration.ofSeconds(1);
  private static final Duration IDLE_CHECK_INTERVAL = Duration.ofMillis(500);

  private static final int MAX_READS_PER_LOOP = 16;
  private static final int WRITE_LOW_BYTES = 16 << 10;

  /** Hundreds of callers may read slowly at once. */
  private static final int WRITE_HIGH_BYTES = 64 << 10;

  private final RouterContext context;
  private final PeerLink peerLink;
  private final SummaryExchange summaries;
  private final FleetStateLog stateLog;
  private final PeriodicTasks periodic;
  private final LoopDelayMonitor loopDelay;
  private final PeerHttpClient peerClient;
  private final PeerQuestions peerQuestions;
  private final Map<StoreData, SnapshotExchange> exchanges = new EnumMap<>(StoreData.class);
  private Channel listener;
  private BooleanSupplier safeToLeave = () -> true;

  private FleetRouter(
      EventLoop loop,
      FleetState fleet,
      ConnectionLimit connections,
      HttpDialect dialect,
      EventLog log,
      RouterMetrics metrics) {
    UpstreamConnectionPool pool = new UpstreamConnectionPool(loop, ByteBufAllocator.DEFAULT);
    peerLink = new PeerLink(loop, log, this::receive);
    RequestScheduling scheduling = new RequestScheduling(loop, fleet, log, peerLink);
    context = new RouterContext(loop, fleet, connections, scheduling, dialect, pool, log, metrics);
    summaries = SummaryExchange.of(fleet, this::isReady);
    stateLog = new FleetStateLog(context);
    peerClient = new PeerHttpClient(context);
    peerQuestions = new PeerQuestions(context, peerClient);
    periodic = new PeriodicTasks(log::internalError);
    loopDelay = new LoopDelayMonitor(REPORT_INTERVAL, context.now());
    metrics.gauge("waiting_requests", () -> scheduling.service().waitingCount());
    metrics.gauge("upstream_connections_opened", pool::openedCount);
    metrics.gauge("held_bytes", () -> context.memory().heldBytes());
    metrics.gauge("heap_used_bytes", FleetRouter::usedHeapBytes);
    metrics.gauge("accepted_connections", context::acceptedConnections);
    metrics.gauge(
        "configuration_version", () -> fleet.table().map(RoutingTable::version).orElse(0L));
    metrics.gauge("configuration_behind_ms", () -> fleet.behindFor(StoreData.OPERATORS).toMillis());
    metrics.gauge("limited_upstreams", () -> fleet.rateLimits().count(fleet.nowNanos()));
    metrics.gauge("blamed_prompt_parts", () -> stateLog.blamedCount(Suspect.Kind.PROMPT_PART));
    metrics.gauge("blamed_requests", () -> stateLog.blamedCount(Suspect.Kind.REQUEST));
  }

  private static long usedHeapBytes() {
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private void receive(InetSocketAddress from, PeerMessage message) {
    if (message instanceof PeerMessage.Summary summary) {
      context.advanceTime();
      summaries.receive(summary.message());
    } else if (message instanceof PeerMessage.Requests requests) {
      context.scheduling().receive(from, requests);
    } else if (message instanceof PeerMessage.Replies replies) {
      context.scheduling().receive(from, replies);
    }
  }

  /**
   * Creates a router that doesn't listen yet.
   *
   * @param loop event loop of the router
   * @param fleet state of the fleet
   * @param connections limit on the connections of callers
   * @param dialect translates headers
   * @param log log of the router's decisions
   * @param metrics metrics of the router
   * @return the router
   */
  public static FleetRouter of(
      EventLoop loop,
      FleetState fleet,
      ConnectionLimit connections,
      HttpDialect dialect,
      EventLog log,
      RouterMetrics metrics) {
    requireNonNull(loop, "loop");
    return new FleetRouter(loop, fleet, connections, dialect, log, metrics);
  }

  /** Starts to listen for callers and peers. */
  public void start() {
    Endpoint callers = context.fleet().members().self().callers();
    listener =
        ServerSockets.bootstrap(context.loop())
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, readToTheEnd())
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(WRITE_LOW_BYTES, WRITE_HIGH_BYTES))
            .childHandler(new Pipeline())
            .bind(callers.host(), callers.port())
            .syncUninterruptibly()
            .channel();
    Endpoint peers = context.fleet().members().self().peers();
    peerLink.bind(peers);
    AuxiliaryHttpServer.bind(context.loop(), peers, this::peerPage);
    CachedPartsReader cachedParts = new CachedPartsReader(context);
    periodic.add(
        REPORT_INTERVAL,
        () -> {
          loopDelay.recordRun(context.now());
          report();
          context.scheduling().refresh();
          cachedParts.queryNewEngines();
        });
    periodic.add(UpstreamDirectory.EXPIRY_INTERVAL, this::expireUpstreams);
    periodic.add(IDLE_CHECK_INTERVAL, this::closeIdleCallers);
    periodic.add(QUEUE_LOG_INTERVAL, this::logState);
    periodic.add(TeamShareMonitor.SAMPLE_INTERVAL, this::logShares);
    long tickMillis = PeriodicTasks.TICK.toMillis();
    context
        .loop()
        .scheduleWithFixedDelay(periodic::tick, tickMillis, tickMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns the pages for other routers, at the address of their reports, which come as datagrams.
   */
  private AuxiliaryHttpServer.Page peerPage(String uri) {
    if (uri.equals(PeerQuestions.PATH)) {
      return peerQuestions.page();
    }
    return exchanges.entrySet().stream()
        .filter(each -> uri.startsWith(SnapshotExchange.PATH + each.getKey()))
        .findFirst()
        .map(each -> each.getValue().page(uri))
        .orElseGet(() -> AuxiliaryHttpServer.Page.of(HttpResponseStatus.NOT_FOUND.code()));
  }

  /** Lets a read loop go on until nothing is left, so that it notices the end of the input too. */
  private static RecvByteBufAllocator readToTheEnd() {
    return new AdaptiveRecvByteBufAllocator()
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(MAX_READS_PER_LOOP);
  }

  private void logState() {
    stateLog.logQueues();
    stateLog.logLoopDelay(loopDelay.takeMaxDelay());
  }

  /** One router speaks for the fleet, as all know the same sums. */
  private void logShares() {
    if (summaries.isFirstRelay()) {
      stateLog.logShares();
    }
  }

  private void report() {
    context.advanceTime();
    context.fleet().members().serving(isReady());
    for (SummaryExchange.Outgoing outgoing : summaries.tick()) {
      peerLink.send(
          PeerLink.addressOf(outgoing.to().peers()), new PeerMessage.Summary(outgoing.message()));
    }
    stateLog.logChanges();
  }

  private void expireUpstreams() {
    long now = context.advanceTime();
    for (InstanceId expired : context.fleet().upstreams().removeExpired(now)) {
      context.log().line("upstream_gone").with("upstream", expired).with("why", "lapsed").write();
      context.fleet().health().forget(expired);
      context.fleet().rateLimiter().forget(expired);
    }
  }

  private void closeIdleCallers() {
    List.copyOf(context.connections()).forEach(CallerConnection::checkIdle);
    int excess = context.excessConnections();
    if (excess > 0) {
      context.log().line("connections_limited").with("open", context.connections().size()).write();
      context.connections().stream()
          .filter(CallerConnection::isIdle)
          .sorted(Comparator.comparingLong(CallerConnection::lastActiveNanos))
          .limit(excess)
          .toList()
          .forEach(CallerConnection::closeIfIdle);
    }
  }

  /**
   * Tells whether the router accepts requests.
   *
   * @return true once it has a configuration and until it drains
   */
  public boolean isReady() {
    return context.fleet().table().isPresent() && !context.isDraining();
  }

  /**
   * Returns the addresses that callers may connect to.
   *
   * @param callers failure domain of the callers
   * @return addresses of routers that accept requests
   */
  public List<Endpoint> addresses(FailureDomain callers) {
    long now = context.advanceTime();
    FleetState fleet = context.fleet();
    List<FleetMembers.Member> available =
        fleet.members().available(now).stream()
            .filter(member -> isReady() || !member.equals(fleet.members().self()))
            .toList();
    List<Endpoint> addresses =
        AddressSelector.select(available, callers, fleet.retryBudget().requestsPerSecond(now));
    stateLog.logAddresses(callers, addresses);
    return addresses;
  }

  /**
   * Returns the state of the fleet, for updates.
   *
   * @return the state, set to the current time
   */
  public FleetState fleet() {
    context.advanceTime();
    return context.fleet();
  }

  /** Schedules new decisions on waiting requests after a change of the fleet state. */
  public void schedulePoll() {
    context.scheduling().schedulePoll();
    context.resumption().scheduleUpdate();
  }

  /**
   * Sets where the router records which upstreams begin streams; to be called before the start.
   *
   * @param store keeps the records
   */
  public void recordOrigins(OriginStore store) {
    StreamResumption resumption = new StreamResumption(context, store, peerQuestions);
    context.resumption(resumption);
    periodic.add(STALE_CHECK_INTERVAL, resumption::update);
  }

  /** Follows one kind of data in the store. */
  public interface StoreFollower {

    /**
     * Checks several times a second whether the store has to be read.
     *
     * @param informed whether other routers tell this one of new versions
     * @param behind whether other routers have read a newer version
     */
    void check(boolean informed, boolean behind);

    /** Reads all data again, as changes don't arrive. */
    void refresh();
  }

  /**
   * Sets what follows one kind of data in the store.
   *
   * @param data kind of data
   * @param follower what follows it
   */
  public void follow(StoreData data, StoreFollower follower) {
    periodic.add(
        STALE_CHECK_INTERVAL,
        () -> {
          FleetState fleet = fleet();
          StoreVersions own = fleet.storeVersions();
          StaleStateDetector detector = fleet.staleStateDetector();
          if (detector.isOverdue(data, own, fleet.nowNanos())) {
            logBehind(data, fleet);
            follower.refresh();
          }
          follower.check(summaries.isInformed(), detector.isBehind(data, own));
        });
  }

  /**
   * Hands one kind of the store's data on to peers, and asks them for it while this router is
   * behind; to be called before the start.
   *
   * @param data kind of data
   * @param snapshots encodes and applies the data
   */
  public void exchange(StoreData data, StoreSnapshots snapshots) {
    SnapshotExchange exchange = new SnapshotExchange(context, peerClient, data, snapshots);
    exchanges.put(data, exchange);
    periodic.add(STALE_CHECK_INTERVAL, exchange::tick);
  }

  private void logBehind(StoreData data, FleetState fleet) {
    context
        .log()
        .line("data_behind")
        .with("data", data)
        .with("version", fleet.storeVersions())
        .with("newest", fleet.staleStateDetector().newestPeerVersions())
        .with("behind_ms", fleet.behindFor(data).toMillis())
        .with("informed", summaries.isInformed())
        .with("reads_store", fleet.readsStore())
        .with("loop_delay_ms", loopDelay.maxDelay().toMillis())
        .write();
  }

  /**
   * Returns the metrics of the router.
   *
   * @return the metrics
   */
  public RouterMetrics metrics() {
    return context.metrics();
  }

  /**
   * Returns how late the event loop was at most in the last second.
   *
   * @return the longest delay of a periodic task
   */
  public Duration loopDelay() {
    return loopDelay.maxDelay();
  }

  /**
   * Sets where what is blamed for crashes is kept while no router runs; to be called before the
   * start.
   *
   * @param store keeps it
   */
  public void keepBlame(BlameStore store) {
    BlameKeeper keeper = new BlameKeeper(context, store);
    periodic.add(REPORT_INTERVAL, keeper::update);
    safeToLeave = keeper::isSafe;
  }

  /**
   * Leaves the fleet: tells the peers, so that callers go to other routers, finishes open requests,
   * and waits until no knowledge would be lost.
   *
   * @param limit time after which the remaining requests are given up
   * @param done runs when no connection is left and nothing would be lost, or soon after the limit
   */
  public void drain(Duration limit, Runnable done) {
    requireNonNull(done, "done");
    GracefulShutdown.of(context, listener, periodic, safeToLeave).start(limit, done);
    report();
  }

  /** Sets up the channel handlers of a caller's connection. */
  private final class Pipeline extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      CallerConnection connection = new CallerConnection(context);
      channel
          .pipeline()
          .addLast(new ArrivalNotifier(connection))
          .addLast(new StrictRequestDecoder(context.limits().maxHeaderBytes()))
          .addLast(new HttpResponseEncoder())
          .addLast(connection);
    }
  }

  /** Notifies the connection of received bytes before its request headers are complete. */
  private static final class ArrivalNotifier extends ChannelInboundHandlerAdapter {
    private final CallerConnection connection;

    ArrivalNotifier(CallerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      connection.bytesArrived();
      ctx.fireChannelRead(message);
    }
  }
}
