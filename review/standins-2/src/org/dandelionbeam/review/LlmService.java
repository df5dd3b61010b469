package org.dandelionbeam.review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A service of model engines whose streams may be resumed, and its configuration. */
final class LlmService implements AutoCloseable {
  /** Events of a stream. */
  static final int EVENTS = 56;

  /** Time within which a stream must end. */
  static final int TIME_LIMIT_MS = 15_000;

  private static final int EVENT_INTERVAL_MS = 200;
  private static final int ZONES = 3;
  private static final String NAME = "s";
  private static final String NETWORK = "127.0.53.";
  private static final int FIRST_HOST = 31;

  private final Recorder recorder;
  private final StoreStandIn store;
  private final List<EngineStandIn> engines = new ArrayList<>();

  LlmService(Recorder recorder, StoreStandIn store) {
    this.recorder = recorder;
    this.store = store;
  }

  List<EngineStandIn> engines() {
    return engines;
  }

  /** Writes the configuration, as the operator does. */
  void writeConfiguration() {
    store.put(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"h.example\","
            + "\"prefix\":\"/s/\",\"routeType\":\"streaming\",\"resumable\":true,"
            + "\"timeoutMs\":15000,\"targetLatencyMs\":600,\"priority\":1,\"backend\":\"s\","
            + "\"maxAttempts\":2,\"anonymous\":false,\"sticky\":true,\"gapTargetMs\":300}],"
            + "\"services\":[{\"name\":\"s\",\"healthPath\":\"/health\","
            + "\"maxConnections\":490,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,"
            + "\"coldPerS\":11.0,\"engine\":{\"slots\":96,\"kvTokens\":178306}}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"tokensPerS\":273000},"
            + "\"tenants\":[{\"name\":\"t-1\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}");
  }

  /** Starts engines of a software version, which register themselves. */
  void startEngines(int count, String version) throws IOException {
    for (int i = 0; i < count; i++) {
      int number = engines.size();
      int zone = number % ZONES;
      EngineStandIn engine =
          new EngineStandIn(
              "i-" + number,
              NAME,
              "abc".substring(zone, zone + 1),
              version,
              NETWORK + (FIRST_HOST + number),
              recorder,
              LlmService::stream);
      engines.add(engine);
      engine.register(store);
    }
  }

  /** Streams the events after the one that the request names. */
  private static void stream(
      EngineStandIn engine, HttpReader.Head request, HttpReader in, OutputStream out)
      throws IOException, InterruptedException {
    in.body(request, part -> {});
    String attempt = request.header("attempt-id");
    if (!request.header("expect-instance").equals(engine.id())) {
      EngineStandIn.write(out, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    String last = request.header("last-event-id");
    int next = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
    String version = engine.version();
    engine
        .recorder()
        .line("engine %s version %s runs %s from event %d", engine.id(), version, attempt, next);
    EngineStandIn.write(
        out,
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nEngine-Seal: "
            + engine.id()
            + "\r\nAttempt-Id: "
            + attempt
            + "\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int id = next; id <= EVENTS; id++) {
      TimeUnit.MILLISECONDS.sleep(EVENT_INTERVAL_MS);
      String event = "id: " + id + "\ndata: " + version + "\n\n";
      EngineStandIn.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }
    EngineStandIn.write(out, "0\r\n\r\n");
  }

  @Override
  public void close() throws IOException {
    for (EngineStandIn engine : engines) {
      engine.close();
    }
  }
}
