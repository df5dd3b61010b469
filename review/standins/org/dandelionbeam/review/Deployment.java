package org.dandelionbeam.review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A store, three routers in three zones and engines of a booking service, on loopback. */
final class Deployment implements AutoCloseable {
  static final String BOOKING_PATH = "/puxa403/2f";
  static final String LOOKUP_PATH = "/cufi504/2f";
  static final String DRAFT_PATH = "/lohu930/2f";
  static final int DRAFT_TIMEOUT_MS = 15_000;
  static final String SERVICE = "wuno96b";
  static final String MODEL_SERVICE = "huvo11a";
  private static final List<String> ZONES = List.of("zon-utara", "zon-tengah", "zon-selatan");
  private static final long START_TIMEOUT_S = 20;
  private static final long SETTLE_MS = 4_000;
  private static final String STORE_HOST = "127.0.0.1";

  private final Record record;
  private final Path folder;
  private final Store store;
  private final List<RouterProcess> routers = new ArrayList<>();
  private final List<Engine> engines = new ArrayList<>();

  private Deployment(Record record) throws IOException {
    this.record = record;
    folder = Files.createTempDirectory("review");
    store = new Store(STORE_HOST);
  }

  /**
   * Starts a deployment and waits until it has settled.
   *
   * @param engineCount engines of the service, one after the other in the zones
   * @param slots requests that an engine runs at once
   * @param workMs the time that a request takes
   * @param timeoutMs the longest time that the operator wants a requester kept waiting
   */
  static Deployment start(Record record, int engineCount, int slots, long workMs, int timeoutMs)
      throws IOException, InterruptedException {
    Deployment deployment = new Deployment(record);
    Runtime.getRuntime().addShutdownHook(new Thread(deployment::endRouters));
    deployment.store.put("op/config", config(timeoutMs), 0);
    for (int i = 0; i < engineCount; i++) {
      deployment.addEngine("i-7f3a91c" + i, ZONES.get(i % ZONES.size()), slots, workMs);
    }
    for (int i = 0; i < ZONES.size(); i++) {
      String zone = ZONES.get(i);
      RouterProcess router =
          new RouterProcess(
              "front-" + zone + "-1",
              zone,
              "127.0.1." + (i + 1),
              deployment.store.address(),
              deployment.folder);
      deployment.routers.add(router);
      router.start();
    }
    for (RouterProcess router : deployment.routers) {
      if (!router.awaitReady(START_TIMEOUT_S)) {
        deployment.close();
        throw new IOException(router.name() + " did not become ready");
      }
    }
    Thread.sleep(SETTLE_MS);
    record.line("three routers are ready, %d engines", engineCount);
    return deployment;
  }

  /** Starts one more engine. */
  Engine addEngine(String id, String zone, int slots, long workMs) throws IOException {
    return addEngine(id, SERVICE, zone, slots, workMs);
  }

  /** Starts one more engine of a service. */
  Engine addEngine(String id, String service, String zone, int slots, long workMs)
      throws IOException {
    String host = "127.0.2." + (engines.size() + 1);
    Engine engine = new Engine(id, service, zone, host, slots, workMs, store, record);
    engines.add(engine);
    return engine;
  }

  private static String config(int timeoutMs) {
    return "{\"version\":7,\"routes\":["
        + route("r-booking", "/puxa403/", "non_idempotent", 1, timeoutMs, SERVICE)
        + ","
        + route("r-lookup", "/cufi504/", "idempotent", 2, timeoutMs, SERVICE)
        + ","
        + route("r-draft", "/lohu930/", "streaming", 1, DRAFT_TIMEOUT_MS, MODEL_SERVICE)
        + "],\"services\":["
        + service(SERVICE)
        + ","
        + service(MODEL_SERVICE)
        + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"tokensPerS\":273000},"
        + "\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\""
        + Client.KEY
        + "\"],\"priority\":1}]}";
  }

  private static String service(String name) {
    return "{\"name\":\""
        + name
        + "\",\"healthPath\":\"/health\",\"maxConnections\":490,\"protocol\":\"h1\",\"tls\":false,"
        + "\"coldStartS\":3.0,\"coldPerS\":11.0}";
  }

  private static String route(
      String name, String prefix, String type, int maxAttempts, int timeoutMs, String service) {
    return "{\"name\":\""
        + name
        + "\",\"hostname\":\""
        + Client.HOST
        + "\",\"prefix\":\""
        + prefix
        + "\",\"routeType\":\""
        + type
        + "\",\"timeoutMs\":"
        + timeoutMs
        + ",\"targetLatencyMs\":386,\"priority\":2,\"backend\":\""
        + service
        + "\",\"maxAttempts\":"
        + maxAttempts
        + ",\"anonymous\":false,\"sticky\":false,\"resumable\":false}";
  }

  Store store() {
    return store;
  }

  List<RouterProcess> routers() {
    return routers;
  }

  List<Engine> engines() {
    return engines;
  }

  /** Returns the folder with the settings and the logs of the routers. */
  Path folder() {
    return folder;
  }

  private void endRouters() {
    routers.forEach(RouterProcess::close);
  }

  @Override
  public void close() throws IOException {
    endRouters();
    engines.forEach(Engine::close);
    store.close();
    try (Stream<Path> files = Files.walk(folder)) {
      if (System.getenv("KEEP") == null) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
    }
  }
}
