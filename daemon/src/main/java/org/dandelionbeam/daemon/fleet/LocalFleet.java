package org.dandelionbeam.daemon.fleet;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.config.ApplyResult;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.Domain;
import org.dandelionbeam.config.wiring.ConfigFiles;
import org.dandelionbeam.node.RouterSettings;
import org.dandelionbeam.node.wiring.RouterNode;
import org.dandelionbeam.peer.wiring.LinkFilter;
import org.dandelionbeam.standins.PlatformStandIn;

/** Routers on loopback in this process, with a stand-in for the platform and for each upstream. */
public final class LocalFleet implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final byte[] FLEET_KEY =
      "a fleet key for loopback only, 32 bytes+".getBytes(StandardCharsets.UTF_8);
  private static final int MAX_SEEDS = 3;
  private static final long POLL_MILLIS = 20;

  private final PlatformStandIn platform;
  private final StandIns standIns;
  private final List<ConfigFiles.Text> texts;
  private final List<RouterNode> routers = new ArrayList<>();
  private final LinkFilter linkFilter;
  private final Duration drainTimeout;

  private LocalFleet(Builder builder) {
    Configuration configuration = Site.readConfiguration(builder.texts);
    platform = PlatformStandIn.start();
    standIns = StandIns.start(configuration, builder.pace);
    linkFilter = builder.links;
    drainTimeout = builder.drainTimeout;
    texts = new ArrayList<>(builder.texts);
    texts.add(Site.addressOverlay(configuration.upstreams(), standIns));
    List<Domain> domains = configuration.domains();
    List<String> seeds = new ArrayList<>();
    for (int i = 0; i < builder.routers; i++) {
      int callerPort = builder.callerPort == 0 ? freePort() : builder.callerPort + i;
      RouterSettings settings =
          settings(callerPort, freePort(), domains.get(i % domains.size()).name(), seeds, i);
      routers.add(RouterNode.start(settings, linkFilter));
      if (seeds.size() < MAX_SEEDS) {
        seeds.add(settings.node().name());
      }
    }
  }

  /**
   * Returns a builder of a fleet.
   *
   * @return a builder of the demo site with three routers
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Returns a router.
   *
   * @param index position in the order of start, from 0
   * @return the router
   */
  public RouterNode router(int index) {
    return routers.get(index);
  }

  /**
   * Returns all routers.
   *
   * @return an immutable copy
   */
  public List<RouterNode> routers() {
    return List.copyOf(routers);
  }

  /**
   * Returns the stand-in of the platform's key-value store.
   *
   * @return the stand-in, on which tests inject faults
   */
  public PlatformStandIn platform() {
    return platform;
  }

  /**
   * Returns the stand-ins of the upstreams.
   *
   * @return the stand-ins
   */
  public StandIns standIns() {
    return standIns;
  }

  /**
   * Applies the configuration of the site with the addresses of the stand-ins.
   *
   * @param extraOverlays overlays that are merged last
   * @return the result, also if the configuration is refused
   */
  public ApplyResult apply(List<ConfigFiles.Text> extraOverlays) {
    List<ConfigFiles.Text> all = new ArrayList<>(texts);
    all.addAll(extraOverlays);
    ConfigFiles.Loaded loaded = ConfigFiles.parse(all);
    if (!loaded.problems().isEmpty()) {
      return new ApplyResult.Refused(loaded.problems());
    }
    RouterNode router = routers.get(0);
    long expected = router.config().revision();
    return router.config().apply(loaded.tree(), expected).orTimeout(20, TimeUnit.SECONDS).join();
  }

  /**
   * Waits until all routers accept requests and each upstream has an owner with slots.
   *
   * @param timeout longest wait
   * @return false if the timeout expired first
   */
  public boolean awaitReady(Duration timeout) {
    long end = System.nanoTime() + timeout.toNanos();
    while (System.nanoTime() - end < 0) {
      if (routers.stream().allMatch(this::isReady)) {
        return true;
      }
      sleep();
    }
    return false;
  }

  /**
   * Replaces a killed or closed router by one that starts without state at the same addresses.
   *
   * @param index position in the order of start, from 0
   * @return the new router
   */
  public RouterNode restart(int index) {
    RouterSettings settings = routers.get(index).settings();
    RouterNode replacement = RouterNode.start(settings, linkFilter);
    routers.set(index, replacement);
    return replacement;
  }

  /** Stops all routers and stand-ins without draining. */
  @Override
  public void close() {
    routers.forEach(RouterNode::kill);
    standIns.close();
    platform.close();
  }

  private boolean isReady(RouterNode router) {
    if (router.closedReason().isPresent()
        || router.membership().aliveMembers().size() < routers.size()) {
      return false;
    }
    return router.config().current().orElseThrow().upstreams().stream()
        .allMatch(upstream -> isOwned(upstream.id()));
  }

  private boolean isOwned(org.dandelionbeam.base.UpstreamId upstream) {
    long now = System.nanoTime();
    return routers.stream().anyMatch(r -> r.membership().slots(upstream, now).warm() > 0);
  }

  private RouterSettings settings(
      int callerPort, int peerPort, FailureDomain domain, List<String> seeds, int index) {
    return RouterSettings.builder()
        .host(HOST)
        .ports(callerPort, peerPort)
        .domain(domain)
        .seeds(List.copyOf(seeds))
        .platform(platform.baseUri())
        .fleetKey(FLEET_KEY)
        .drainTimeout(drainTimeout)
        .seed(index + 1L)
        .build();
  }

  private static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void sleep() {
    try {
      Thread.sleep(POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Builder of a {@link LocalFleet}. */
  public static final class Builder {
    private List<ConfigFiles.Text> texts = Site.DEMO.texts();
    private StandIns.Pace pace = StandIns.Pace.moderate(List.of());
    private int routers = 3;
    private int callerPort;
    private LinkFilter links = (from, to) -> true;
    private Duration drainTimeout = Duration.ofSeconds(10);

    private Builder() {}

    /**
     * Sets the configuration.
     *
     * @param value base and overlays
     * @return this builder
     */
    public Builder texts(List<ConfigFiles.Text> value) {
      texts = List.copyOf(value);
      return this;
    }

    /**
     * Sets the speed of the stand-ins.
     *
     * @param value the speed
     * @return this builder
     */
    public Builder pace(StandIns.Pace value) {
      pace = requireNonNull(value, "value");
      return this;
    }

    /**
     * Sets the number of routers, which are assigned to the failure domains in turn.
     *
     * @param value at least 1
     * @return this builder
     */
    public Builder routers(int value) {
      routers = value;
      return this;
    }

    /**
     * Sets the caller port of the first router; the others use the ports after it.
     *
     * @param value TCP port, 0 for any free ones
     * @return this builder
     */
    public Builder callerPort(int value) {
      callerPort = value;
      return this;
    }

    /**
     * Sets a filter that blocks links between routers.
     *
     * @param value returns false for a link that is blocked
     * @return this builder
     */
    public Builder links(LinkFilter value) {
      links = requireNonNull(value, "value");
      return this;
    }

    /**
     * Sets how long a closing router waits for running requests.
     *
     * @param value the timeout of a drain
     * @return this builder
     */
    public Builder drainTimeout(Duration value) {
      drainTimeout = requireNonNull(value, "value");
      return this;
    }

    /**
     * Starts the fleet without a configuration; {@link LocalFleet#apply} applies it.
     *
     * @return the running fleet
     */
    public LocalFleet start() {
      return new LocalFleet(this);
    }
  }
}
