package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.dandelionbeam.routing.FleetMembers.Member;
import org.dandelionbeam.routing.PeerFetch;
import org.dandelionbeam.routing.StoreData;
import org.dandelionbeam.routing.StoreSnapshots;
import org.dandelionbeam.routing.StoreVersions;

/**
 * Hands one kind of the store's data on to peers that ask for it, and asks peers for it while this
 * router can't read the store. Confined to one event loop.
 */
final class SnapshotExchange {
  /** A peer that is slower is given up, and another one is asked. */
  private static final Duration TIMEOUT = Duration.ofMillis(500);

  static final String PATH = "/snapshot/";
  private static final String ERA = "era";
  private static final String REVISION = "revision";

  private final RouterContext router;
  private final StoreData data;
  private final StoreSnapshots snapshots;
  private final PeerFetch fetch;
  private final PeerHttpClient client;

  SnapshotExchange(
      RouterContext router, PeerHttpClient client, StoreData data, StoreSnapshots snapshots) {
    this.router = requireNonNull(router, "router");
    this.data = requireNonNull(data, "data");
    this.snapshots = requireNonNull(snapshots, "snapshots");
    this.client = requireNonNull(client, "client");
    fetch = PeerFetch.of(router.fleet(), data, router::random);
  }

  /** Returns the page with the data, if it is newer than that of the peer that asks for it. */
  AuxiliaryHttpServer.Page page(String uri) {
    QueryStringDecoder query = new QueryStringDecoder(uri);
    Optional<Long> era = number(query, ERA);
    Optional<Long> revision = number(query, REVISION);
    if (!query.path().equals(PATH + data) || era.isEmpty() || revision.isEmpty()) {
      return AuxiliaryHttpServer.Page.of(HttpResponseStatus.NOT_FOUND.code());
    }
    StoreVersions known = StoreVersions.ofEra(era.get()).with(data, revision.get());
    Optional<String> newer = snapshots.newerThan(known);
    router.metrics().count("snapshots_served", "newer", Boolean.toString(newer.isPresent()));
    return newer
        .map(
            text ->
                new AuxiliaryHttpServer.Page(
                    HttpResponseStatus.OK.code(), "application/json", text))
        .orElseGet(() -> AuxiliaryHttpServer.Page.of(HttpResponseStatus.NO_CONTENT.code()));
  }

  private static Optional<Long> number(QueryStringDecoder query, String name) {
    try {
      return query.parameters().getOrDefault(name, List.of()).stream()
          .findFirst()
          .map(Long::parseLong);
    } catch (NumberFormatException e) {
      // The peer gets an error response for it.
      return Optional.empty();
    }
  }

  /** Asks a peer if this router is behind; to be called several times a second. */
  void tick() {
    router.advanceTime();
    fetch.next().ifPresent(this::ask);
  }

  private void ask(Member peer) {
    StoreVersions own = router.fleet().storeVersions();
    String uri = PATH + data + "?" + ERA + "=" + own.era() + "&" + REVISION + "=" + own.of(data);
    Duration behind = router.fleet().behindFor(data);
    client.get(peer, uri, TIMEOUT, result -> receive(peer, behind, result));
  }

  private void receive(Member peer, Duration behind, PeerHttpClient.Result result) {
    if (result instanceof PeerHttpClient.Result.Response response) {
      if (response.status() == HttpResponseStatus.OK.code()) {
        end(peer, behind, apply(response.body()));
      } else {
        end(peer, behind, new Outcome(false, "status=" + response.status()));
      }
    } else if (result instanceof PeerHttpClient.Result.Failure failure) {
      end(peer, behind, new Outcome(false, failure.cause()));
    }
  }

  /** What a fetch has brought. */
  private record Outcome(boolean newer, String text) {}

  private Outcome apply(byte[] body) {
    try {
      router.advanceTime();
      boolean newer = snapshots.apply(body);
      return new Outcome(newer, newer ? "applied" : "not newer");
    } catch (IOException | RuntimeException e) {
      return new Outcome(false, "unreadable response: " + e);
    }
  }

  private void end(Member peer, Duration behind, Outcome outcome) {
    fetch.recordEnd(outcome.newer());
    router.metrics().count("snapshots_fetched", "newer", Boolean.toString(outcome.newer()));
    router
        .log()
        .line("snapshot")
        .with("data", data)
        .with("peer", peer.name())
        .with("behind_ms", behind.toMillis())
        .with("outcome", outcome.text())
        .write();
  }
}
