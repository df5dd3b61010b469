package org.dandelionbeam.daemon.bench;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.config.wiring.ConfigFiles;
import org.dandelionbeam.daemon.fleet.LocalFleet;
import org.dandelionbeam.daemon.fleet.Site;
import org.dandelionbeam.daemon.fleet.StandIns;
import org.dandelionbeam.daemon.load.ContinuousLoad;
import org.dandelionbeam.daemon.load.Mix;
import org.dandelionbeam.daemon.load.MixKind;
import org.dandelionbeam.daemon.load.MixTeam;
import org.dandelionbeam.node.wiring.RouterNode;
import org.dandelionbeam.peer.wiring.LinkFilter;
import org.dandelionbeam.standins.EngineStandIn;

/** Runs the fleet of a site with stand-ins of known capacity, and starts loads on it. */
final class SiteTrial implements AutoCloseable {
  static final String BOOKING = "booking";
  private static final String HOST = "127.0.0.1";
  private static final double TOKENS_PER_SECOND = 50;
  private static final double BATCH_SLOWDOWN = 0.05;
  private static final Duration CALL_TIME = Duration.ofMillis(5);
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
  private static final MixKind.Range TOKEN_RANGE = new MixKind.Range(12, 36);
  private static final double MEAN_TOKENS = 15;
  private static final double CHAT_SHARE = 0.8;
  private static final long POLL_MILLIS = 10;
  private static final String CAROL_TICKET_DESK =
      """
      services:
        - name: ticket-desk
          kinds:
            - {name: issue, method: POST, path: /bookings, idempotent: false}
            - {name: check, method: GET, path: /checks/*, idempotent: true}
      """;

  private final Site site;
  private final LocalFleet fleet;

  private SiteTrial(Site site, LocalFleet fleet) {
    this.site = site;
    this.fleet = fleet;
  }

  static SiteTrial start(Site site, int routers) {
    return start(site, routers, (from, to) -> true, List.of());
  }

  /** Starts a fleet whose engines are all cold. */
  static SiteTrial startCold(Site site, int routers) {
    List<String> cold = site.configuration().upstreams().stream().map(Upstream::name).toList();
    return start(site, routers, (from, to) -> true, List.of(), cold);
  }

  static SiteTrial start(
      Site site, int routers, LinkFilter links, List<ConfigFiles.Text> overlays) {
    return start(site, routers, links, overlays, List.of());
  }

  private static SiteTrial start(
      Site site,
      int routers,
      LinkFilter links,
      List<ConfigFiles.Text> overlays,
      List<String> cold) {
    List<ConfigFiles.Text> texts = new ArrayList<>(site.texts());
    if (site == Site.CAROL) {
      texts.add(new ConfigFiles.Text("desk", CAROL_TICKET_DESK));
    }
    texts.addAll(overlays);
    LocalFleet fleet =
        LocalFleet.builder()
            .texts(texts)
            .pace(new StandIns.Pace(TOKENS_PER_SECOND, BATCH_SLOWDOWN, CALL_TIME, cold))
            .routers(routers)
            .links(links)
            .start();
    fleet.apply(List.of());
    if (!fleet.awaitReady(READY_TIMEOUT)) {
      fleet.close();
      throw new IllegalStateException(
          "the routers of the site's fleet did not become ready before the timeout");
    }
    return new SiteTrial(site, fleet);
  }

  LocalFleet fleet() {
    return fleet;
  }

  Configuration configuration() {
    return fleet.router(0).config().current().orElseThrow();
  }

  /** Returns the requests per second that keep all engines full, calls to the ledger included. */
  double capacityRequestsPerSecond() {
    double tokens = 0;
    for (Upstream upstream : engines()) {
      double width = upstream.window();
      tokens += width * TOKENS_PER_SECOND / (1 + BATCH_SLOWDOWN * (width - 1));
    }
    return tokens / MEAN_TOKENS / CHAT_SHARE;
  }

  ContinuousLoad startLoad(double share, long seed) {
    return ContinuousLoad.start(mix(), addresses(), share * capacityRequestsPerSecond(), seed);
  }

  List<InetSocketAddress> addresses() {
    return fleet.routers().stream()
        .map(router -> new InetSocketAddress(HOST, router.callerPort()))
        .toList();
  }

  List<Upstream> engines() {
    return configuration().upstreams().stream()
        .filter(upstream -> fleet.standIns().engines().containsKey(upstream.name()))
        .toList();
  }

  /** Returns the upstreams that a router owns. */
  List<Upstream> ownedBy(RouterNode router) {
    long now = System.nanoTime();
    return configuration().upstreams().stream()
        .filter(upstream -> router.membership().slots(upstream.id(), now).warm() > 0)
        .toList();
  }

  boolean isOwnedByOther(UpstreamId upstream, RouterNode gone) {
    long now = System.nanoTime();
    return fleet.routers().stream()
        .filter(router -> router != gone)
        .anyMatch(router -> router.membership().slots(upstream, now).warm() > 0);
  }

  /** Returns how many requests the engines of a domain have started. */
  long started(FailureDomain domain) {
    return engines().stream()
        .filter(upstream -> upstream.domain().equals(domain))
        .mapToLong(upstream -> started(upstream.name()))
        .sum();
  }

  long completed(String engine) {
    return fleet.standIns().engine(engine).completed();
  }

  long started(String engine) {
    EngineStandIn standIn = fleet.standIns().engine(engine);
    return standIn.completed() + standIn.cancelled() + standIn.inFlight();
  }

  long doubledBookings() {
    return fleet.standIns().ledgers().values().stream()
        .mapToLong(ledger -> ledger.duplicatedReferences())
        .sum();
  }

  int runsOfBooking(String id) {
    return fleet.standIns().ledgers().values().stream()
        .mapToInt(ledger -> ledger.runsOfReference(id))
        .sum();
  }

  int runsOfRequest(String id) {
    Map<String, EngineStandIn> engines = fleet.standIns().engines();
    return runsOfBooking(id)
        + engines.values().stream().mapToInt(engine -> engine.runsOfRequest(id)).sum();
  }

  int coldOverloads() {
    return fleet.standIns().engines().values().stream()
        .mapToInt(EngineStandIn::coldOverloads)
        .sum();
  }

  /** Returns the seconds until a condition holds, or the limit if it does not by then. */
  static double secondsUntil(Duration limit, BooleanSupplier condition) {
    long start = System.nanoTime();
    while (System.nanoTime() - start < limit.toNanos() && !condition.getAsBoolean()) {
      sleep(POLL_MILLIS);
    }
    return (System.nanoTime() - start) / 1e9;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    fleet.close();
  }

  private Mix mix() {
    return site == Site.CAROL
        ? mix("carol-assistant", "ticket-desk", List.of("families", "stewards", "audit"))
        : mix("camp-assistant", "ledger", List.of("registration", "parents", "audit"));
  }

  private Mix mix(String model, String ledger, List<String> teams) {
    String path = "/v1/services/" + ledger + "/bookings";
    String body = "{\"reference\":\"{id}\"}";
    List<MixKind> kinds =
        List.of(
            completion("stream", MixKind.Type.STREAM, 60, model),
            completion("whole", MixKind.Type.WHOLE, 20, model),
            new MixKind(BOOKING, MixKind.Type.CALL, 10, null, null, null, "POST", path, body, true),
            new MixKind(
                "plain-" + BOOKING,
                MixKind.Type.CALL,
                10,
                null,
                null,
                null,
                "POST",
                path,
                body,
                false));
    return new Mix(
        List.of(
            new MixTeam(teams.get(0), site.teamKey(teams.get(0)), 40, 60, kinds),
            new MixTeam(teams.get(1), site.teamKey(teams.get(1)), 30, 39, kinds),
            new MixTeam(teams.get(2), site.teamKey(teams.get(2)), 1, 1, kinds)));
  }

  private static MixKind completion(String name, MixKind.Type type, int share, String model) {
    return new MixKind(name, type, share, model, TOKEN_RANGE, TOKEN_RANGE, null, null, null, false);
  }
}
