package org.dandelionbeam.daemon.bench;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.dandelionbeam.config.KeyHash;
import org.dandelionbeam.config.wiring.ConfigFiles;
import org.dandelionbeam.daemon.fleet.LocalFleet;
import org.dandelionbeam.daemon.fleet.StandIns;

/** One router in front of a fast engine and a fast ledger, both stand-ins. */
final class RelayBenchFleet implements AutoCloseable {
  static final String KEY = "bench-key";
  private static final String HOST = "127.0.0.1";
  private static final String SALT = "be9c00be9c00be9c";
  private static final double TOKENS_PER_SECOND = 4_000;
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
  private static final String CONFIGURATION =
      """
      salt: "%s"
      operatorKeys: ["%s"]
      regions: [{name: r}]
      domains: [{name: d, region: r}]
      models: [{name: m}]
      services:
        - name: chat
          type: MODEL
          costUnit: TOKENS
          kinds: [{name: chat, method: POST, path: /v1/chat/completions, idempotent: true}]
        - name: ledger
          type: PLAIN
          costUnit: CALLS
          kinds: [{name: read, method: GET, path: /**, idempotent: true}]
      upstreams:
        - {name: engine, service: chat, domain: d, host: 127.0.0.1, port: 1, models: [m], \
      window: 512, coldLimit: 512, checksOrders: true}
        - {name: desk, service: ledger, domain: d, host: 127.0.0.1, port: 2, \
      window: 512, coldLimit: 512, checksOrders: true}
      teams:
        - {name: t, weight: 1, keys: ["%s"], maxQueued: 4096, maxOpen: 4096}
      """;

  private final LocalFleet fleet;

  private RelayBenchFleet() {
    fleet =
        LocalFleet.builder()
            .texts(texts())
            .pace(new StandIns.Pace(TOKENS_PER_SECOND, 0, Duration.ZERO, List.of()))
            .routers(1)
            .start();
    fleet.apply(List.of());
    if (!fleet.awaitReady(READY_TIMEOUT)) {
      throw new IllegalStateException(
          "the router of the relay benchmark did not become ready before the timeout");
    }
  }

  static List<ConfigFiles.Text> texts() {
    String operator = KeyHash.of(SALT, "bench-operator").hash();
    String text = CONFIGURATION.formatted(SALT, operator, KeyHash.of(SALT, KEY).hash());
    return List.of(new ConfigFiles.Text("bench", text));
  }

  static RelayBenchFleet start() {
    return new RelayBenchFleet();
  }

  InetSocketAddress router() {
    return new InetSocketAddress(HOST, fleet.router(0).callerPort());
  }

  InetSocketAddress engine() {
    return new InetSocketAddress(HOST, fleet.standIns().port("engine"));
  }

  InetSocketAddress ledger() {
    return new InetSocketAddress(HOST, fleet.standIns().port("desk"));
  }

  @Override
  public void close() {
    fleet.close();
  }
}
