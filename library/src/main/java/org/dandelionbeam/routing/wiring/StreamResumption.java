package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.dandelionbeam.resumption.Continuation;
import org.dandelionbeam.resumption.OriginBatch;
import org.dandelionbeam.resumption.OriginStore;
import org.dandelionbeam.resumption.StreamId;
import org.dandelionbeam.resumption.StreamOrigin;
import org.dandelionbeam.resumption.StreamOrigins;
import org.dandelionbeam.resumption.VersionTracker;
import org.dandelionbeam.routing.RouteKind;
import org.dandelionbeam.routing.RouteRule;
import org.dandelionbeam.routing.RoutingTable;
import org.dandelionbeam.routing.ServiceName;
import org.dandelionbeam.routing.SoftwareVersion;
import org.dandelionbeam.routing.UpstreamInstance;

/**
 * Records which software versions begin streams, and finds out where a stream may go on. Confined
 * to one event loop.
 */
final class StreamResumption {
  private static final Duration RETRY_DELAY = Duration.ofMillis(200);

  private final RouterContext router;
  private final OriginStore store;
  private final PeerQuestions peers;
  private final VersionTracker versions = VersionTracker.create();
  private final StreamOrigins ownStreams = StreamOrigins.create();
  private final OriginBatch batch = OriginBatch.create();
  private long servicesVersion = -1;
  private Set<ServiceName> services = Set.of();
  private boolean updatePending;
  private boolean flushPending;

  StreamResumption(RouterContext router, OriginStore store, PeerQuestions peers) {
    this.router = requireNonNull(router, "router");
    this.store = requireNonNull(store, "store");
    this.peers = requireNonNull(peers, "peers");
    router.fleet().versions(versions);
    router.metrics().gauge("recorded_versions", versions::recordCount);
    router.metrics().gauge("stream_origins_dropped", batch::droppedCount);
  }

  /** Takes over changes of the upstreams soon. */
  void scheduleUpdate() {
    if (!updatePending) {
      updatePending = true;
      router.loop().execute(router.log().guarded(this::update));
    }
  }

  /** Brings the records of versions up to date; to be called several times a second. */
  void update() {
    updatePending = false;
    long now = router.advanceTime();
    long era = router.fleet().storeVersions().era();
    for (VersionTracker.Call call : versions.update(presentVersions(), era, now)) {
      if (call instanceof VersionTracker.Call.Confirm confirm) {
        confirm(confirm);
      } else if (call instanceof VersionTracker.Call.Read read) {
        read(read.service());
      } else if (call instanceof VersionTracker.Call.Remove remove) {
        router.log().line("version_retired").with("record", remove.record()).write();
        store.remove(remove.record());
      }
    }
  }

  private Map<ServiceName, Set<SoftwareVersion>> presentVersions() {
    router.fleet().table().ifPresent(this::refreshServices);
    Map<ServiceName, Set<SoftwareVersion>> present = new HashMap<>();
    services.forEach(service -> present.put(service, new HashSet<>()));
    for (UpstreamInstance upstream : router.fleet().upstreams().all()) {
      if (services.contains(upstream.service())) {
        present.get(upstream.service()).add(upstream.version());
      }
    }
    return present;
  }

  private void refreshServices(RoutingTable table) {
    if (table.version() != servicesVersion) {
      servicesVersion = table.version();
      Set<ServiceName> found = new HashSet<>(services);
      table
          .routes()
          .filter(StreamResumption::isResumable)
          .forEach(route -> route.targets().forEach(target -> found.add(target.service())));
      services = found;
    }
  }

  private static boolean isResumable(RouteRule route) {
    return route.kind() == RouteKind.STREAMING && route.isIdempotent();
  }

  private void confirm(VersionTracker.Call.Confirm call) {
    store.confirm(
        call,
        acknowledged -> {
          router
              .log()
              .line("version_recorded")
              .with("service", call.service())
              .with("software", call.version())
              .with("acknowledged", acknowledged)
              .write();
          if (acknowledged) {
            versions.recordConfirmed(call, router.advanceTime());
            router.scheduling().schedulePoll();
            scheduleUpdate();
          }
        });
  }

  private void read(ServiceName service) {
    store.find(
        Optional.empty(),
        service,
        found ->
            found.ifPresent(
                known -> versions.recordRead(service, known.versions(), router.advanceTime())));
  }

  /** Records that the caller of a stream has got the first event. */
  void recordBegun(StreamId id, StreamOrigin origin) {
    long now = router.advanceTime();
    ownStreams.record(id, origin, now);
    if (versions.mustRecord(origin)) {
      batch.add(id, origin, now);
      scheduleFlush();
    }
  }

  private void scheduleFlush() {
    if (!flushPending) {
      flushPending = true;
      int routers = router.fleet().members().all().size();
      long wait = batch.timeUntilDue(routers, router.now()).toNanos();
      router.loop().schedule(router.log().guarded(this::flush), wait, TimeUnit.NANOSECONDS);
    }
  }

  private void flush() {
    flushPending = false;
    Map<StreamId, StreamOrigin> taken = batch.take(router.now());
    if (!taken.isEmpty()) {
      store.write(taken, written -> recordWritten(taken, written));
    }
  }

  private void recordWritten(Map<StreamId, StreamOrigin> taken, boolean written) {
    router.metrics().count("stream_origin_writes", "written", Boolean.toString(written));
    batch.recordEnd(taken, written);
    if (batch.isEmpty()) {
      return;
    }
    if (written) {
      scheduleFlush();
    } else {
      router
          .loop()
          .schedule(
              router.log().guarded(this::scheduleFlush),
              RETRY_DELAY.toMillis(),
              TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Finds out where a stream that broke off may go on.
   *
   * @param id the stream, empty if its caller doesn't tell which
   * @param service service that its route leads to
   * @param receiver gets the answer, at once or later
   */
  void resolve(Optional<StreamId> id, ServiceName service, Consumer<Continuation> receiver) {
    Optional<StreamOrigin> own = id.flatMap(ownStreams::find);
    if (own.isPresent()) {
      finish(Continuation.of(service, own, Optional.empty()), receiver);
      return;
    }
    long takenUpNanos = router.advanceTime();
    store.find(
        id,
        service,
        found ->
            found.ifPresentOrElse(
                records -> finish(continuation(service, records), receiver),
                () -> resolveWithoutStore(service, takenUpNanos, receiver)));
  }

  /**
   * Without the store, a stream goes on only if one version alone was in use when it was taken up,
   * which peers have to confirm.
   */
  private void resolveWithoutStore(
      ServiceName service, long takenUpNanos, Consumer<Continuation> receiver) {
    if (versions.onlyVersion(service).isEmpty()) {
      finish(new Continuation.Unknown(Continuation.Reason.STORE_UNAVAILABLE), receiver);
      return;
    }
    peers.confirm(
        takenUpNanos, confirmed -> finish(onlyContinuation(service, confirmed), receiver));
  }

  private void finish(Continuation continuation, Consumer<Continuation> receiver) {
    String outcome =
        continuation instanceof Continuation.Unknown unknown ? unknown.reason().name() : "KNOWN";
    router.metrics().count("resumptions", "origin", outcome);
    receiver.accept(continuation);
  }

  private Continuation continuation(ServiceName service, OriginStore.Found found) {
    long era = router.fleet().storeVersions().era();
    Optional<SoftwareVersion> only = VersionTracker.onlyVersion(found.versions(), era);
    return Continuation.of(service, found.origin(), only);
  }

  private Continuation onlyContinuation(ServiceName service, boolean confirmed) {
    return versions
        .onlyVersion(service)
        .filter(only -> confirmed)
        .<Continuation>map(Continuation.At::new)
        .orElseGet(() -> new Continuation.Unknown(Continuation.Reason.STORE_UNAVAILABLE));
  }
}
