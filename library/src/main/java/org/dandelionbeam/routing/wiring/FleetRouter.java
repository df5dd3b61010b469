package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.routing.DrainWindow;
import org.dandelionbeam.routing.Endpoint;
import org.dandelionbeam.routing.FleetState;
import org.dandelionbeam.routing.InstanceId;
import org.dandelionbeam.routing.StoreVersions;

/**
 * A router: takes requests of callers, sends them to upstreams and exchanges reports with its
 * peers. Everything runs on one event loop, and its methods must be called there.
 */
public final class FleetRouter {
  /** Changes are reported at once; whole reports repair what was lost on the way. */
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(100);

  /** Requests that wait are looked at again so often, at a moment that differs by router. */
  private static final Duration POLL_INTERVAL = Duration.ofMillis(12);

  private static final Duration STALE_CHECK_INTERVAL = Duration.ofMillis(100);
  private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);

  /** Callers keep an address for up to three lifetimes of two seconds after it was removed. */
  private static final Duration LISTEN_WHILE_DRAINING = Duration.ofMillis(5_500);

  /** Idle connections are closed earlier, so that their callers look for another router. */
  private static final Duration KEEP_IDLE_WHILE_DRAINING = Duration.ofMillis(2_200);

  private static final int ACCEPT_BACKLOG = 1_024;
  private static final int WRITE_LOW_BYTES = 32 << 10;
  private static final int WRITE_HIGH_BYTES = 128 << 10;

  private final RouterContext context;
  private final PeerLink peers;
  private Channel listener;

  private FleetRouter(RouterContext context) {
    this.context = context;
    peers = new PeerLink(context);
  }

  /**
   * Returns a router that doesn't listen yet.
   *
   * @param loop its event loop
   * @param fleet what it believes
   * @param dialect translates headers
   * @param log log of its decisions
   * @param metrics its counters
   * @return the router
   */
  public static FleetRouter of(
      EventLoop loop, FleetState fleet, HttpDialect dialect, EventLog log, RouterMetrics metrics) {
    requireNonNull(loop, "loop");
    UpstreamConnectionPool pool = new UpstreamConnectionPool(loop, ByteBufAllocator.DEFAULT);
    RouterContext context = new RouterContext(loop, fleet, dialect, pool, log, metrics);
    metrics.gauge("waiting_requests", () -> context.scheduler().waitingCount());
    metrics.gauge("upstream_connections_opened", pool::openedCount);
    return new FleetRouter(context);
  }

  /** Starts to listen for callers and peers. */
  public void start() {
    Endpoint callers = context.fleet().members().self().callers();
    listener =
        new ServerBootstrap()
            .group(context.loop(), context.loop())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(WRITE_LOW_BYTES, WRITE_HIGH_BYTES))
            .childHandler(new Pipeline())
            .bind(callers.host(), callers.port())
            .syncUninterruptibly()
            .channel();
    peers.bind(context.fleet().members().self().peers());
    context.onLoadChange(() -> peers.sendChanges(isReady()));
    scheduleEvery(REPORT_INTERVAL, () -> peers.sendReport(isReady()));
    scheduleEvery(POLL_INTERVAL, context::poll);
    scheduleEvery(SWEEP_INTERVAL, this::sweep);
    CachedPartsReader heldParts = new CachedPartsReader(context);
    scheduleEvery(STALE_CHECK_INTERVAL, heldParts::queryNewEngines);
  }

  private void scheduleEvery(Duration interval, Runnable task) {
    long millis = interval.toMillis();
    context.loop().scheduleWithFixedDelay(guarded(task), millis, millis, TimeUnit.MILLISECONDS);
  }

  /** A failure of one run must not end the later ones. */
  private Runnable guarded(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        context.log().line("internal_error").with("cause", e).write();
      }
    };
  }

  private void sweep() {
    long now = context.advanceTime();
    for (InstanceId expired : context.fleet().upstreams().removeExpired(now)) {
      context.log().line("upstream_gone").with("upstream", expired).with("why", "lapsed").write();
      context.fleet().health().forget(expired);
      context.fleet().coldRateLimiter().forget(expired);
    }
    List.copyOf(context.connections()).forEach(CallerConnection::checkIdle);
  }

  /**
   * Tells whether the router takes requests.
   *
   * @return true once it knows a configuration and until it leaves
   */
  public boolean isReady() {
    return context.fleet().table().isPresent() && !context.isDraining();
  }

  /**
   * Returns the addresses that callers may use.
   *
   * @return addresses of routers that take requests
   */
  public List<Endpoint> addresses() {
    return context.fleet().members().servingAddresses(isReady(), context.advanceTime());
  }

  /**
   * Returns what the router believes, so that news can be put in.
   *
   * @return the state, at the present time
   */
  public FleetState fleet() {
    context.advanceTime();
    return context.fleet();
  }

  /** Decides again on requests that wait, since something changed. */
  public void schedulePoll() {
    context.schedulePoll();
  }

  /**
   * Sets what reads the store again when peers know newer versions of it.
   *
   * @param configuration reads the configuration
   * @param upstreams lists the upstreams
   */
  public void onStale(Runnable configuration, Runnable upstreams) {
    scheduleEvery(
        STALE_CHECK_INTERVAL,
        () -> {
          FleetState fleet = fleet();
          StoreVersions own = fleet.storeVersions();
          if (fleet.staleStateDetector().configurationIsDue(own, fleet.nowNanos())) {
            context.log().line("configuration_behind").with("version", own.configuration()).write();
            configuration.run();
          }
          if (fleet.staleStateDetector().upstreamsAreDue(own, fleet.nowNanos())) {
            context.log().line("upstreams_behind").with("version", own.upstreams()).write();
            upstreams.run();
          }
        });
  }

  /**
   * Leaves the fleet: callers are sent elsewhere, and open requests are finished.
   *
   * @param limit time after which remaining requests are given up
   * @param done runs when no request is left, or at the limit
   */
  public void drain(Duration limit, Runnable done) {
    long now = System.nanoTime();
    long deadline = now + limit.toNanos();
    Duration listenTime =
        limit.compareTo(LISTEN_WHILE_DRAINING) < 0 ? limit : LISTEN_WHILE_DRAINING;
    context.startDraining(DrainWindow.of(now, limit));
    peers.sendReport(false);
    context.log().line("leaving").with("open_connections", context.connections().size()).write();
    scheduleOnce(KEEP_IDLE_WHILE_DRAINING, this::closeIdleConnections);
    scheduleOnce(listenTime, () -> listener.close());
    awaitDrained(deadline, now + listenTime.toNanos(), done);
  }

  private void scheduleOnce(Duration delay, Runnable task) {
    context.loop().schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void closeIdleConnections() {
    List.copyOf(context.connections()).forEach(CallerConnection::closeIfIdle);
  }

  private void awaitDrained(long deadlineNanos, long notBeforeNanos, Runnable done) {
    long now = System.nanoTime();
    boolean idle = context.connections().isEmpty() && now - notBeforeNanos > 0;
    if (idle || now - deadlineNanos > 0) {
      context.log().line("left").with("open_connections", context.connections().size()).write();
      done.run();
      return;
    }
    context
        .loop()
        .schedule(
            () -> awaitDrained(deadlineNanos, notBeforeNanos, done),
            POLL_INTERVAL.toMillis(),
            TimeUnit.MILLISECONDS);
  }

  /** Handlers of a caller's connection. */
  private final class Pipeline extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel channel) {
      CallerConnection session = new CallerConnection(context);
      channel
          .pipeline()
          .addLast(new ArrivalNotifier(session))
          .addLast(new StrictRequestDecoder(context.limits().maxHeaderBytes()))
          .addLast(new HttpResponseEncoder())
          .addLast(session);
    }
  }

  /** Tells the session of bytes before they make up a head. */
  private static final class ArrivalNotifier extends ChannelInboundHandlerAdapter {
    private final CallerConnection session;

    ArrivalNotifier(CallerConnection connection) {
      this.session = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      session.bytesArrived();
      ctx.fireChannelRead(message);
    }
  }
}
