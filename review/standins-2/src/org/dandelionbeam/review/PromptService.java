package org.dandelionbeam.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;

/**
 * A service of model engines whose requests share the first part of their prompts, and the callers
 * of the service. Another part crashes each engine that begins to write an answer on it.
 */
final class PromptService implements AutoCloseable {
  private static final String HARMFUL_PART = "bad0bad0";
  private static final String FIRST_PART = "5c1e07a2";
  private static final int FIRST_SESSION = 100;
  private static final int SESSIONS = 141;
  private static final int ZONES = 3;
  private static final String NETWORK = "127.0.53.";
  private static final int FIRST_HOST = 31;
  private static final int EVENTS = 56;
  private static final int EVENT_INTERVAL_MS = 100;
  private static final int FIRST_EVENT_MS = 200;

  /** Time in which requests are answered that are not held. */
  private static final int ANSWER_MS = 2_000;

  private static final int TIME_LIMIT_MS = 15_000;

  /** Time after which an engine is back that a harmful request has crashed. */
  private static final int HARMFUL_DOWN_MS = 3_000;

  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int OK = 200;
  private static final int TOO_MANY = 429;

  private final Recorder recorder;
  private final Fleet fleet;
  private final List<EngineStandIn> engines = new ArrayList<>();
  private final AtomicInteger crashes = new AtomicInteger();
  private final AtomicInteger number = new AtomicInteger();
  private final List<Attempt> attempts = new CopyOnWriteArrayList<>();
  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final ScheduledExecutorService clock = Executors.newScheduledThreadPool(2);

  /** A first attempt of a sound request. */
  private record Attempt(long sentNanos, int status) {}

  /**
   * Sound requests that were sent within some time, without those that were refused with 429.
   *
   * @param sent number of requests
   * @param begun number of those that were answered with success
   */
  record Share(long sent, long begun) {
    double value() {
      return (double) begun / sent;
    }
  }

  PromptService(Recorder recorder, Fleet fleet) {
    this.recorder = recorder;
    this.fleet = fleet;
  }

  /** Writes the configuration, and starts engines, which register themselves. */
  void start(int engineCount) throws IOException {
    fleet.store().put("op/config", configuration());
    for (int i = 0; i < engineCount; i++) {
      EngineStandIn engine =
          new EngineStandIn(
              "i-" + i,
              "s",
              "abc".substring(i % ZONES, i % ZONES + 1),
              "v1",
              NETWORK + (FIRST_HOST + i),
              recorder,
              this::respond);
      engines.add(engine);
      engine.register(fleet.store());
    }
  }

  private static String configuration() {
    return "{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"h.example\","
        + "\"prefix\":\"/s/\",\"routeType\":\"streaming\",\"resumable\":false,"
        + "\"timeoutMs\":15000,\"targetLatencyMs\":300,\"priority\":1,\"backend\":\"s\","
        + "\"maxAttempts\":1,\"anonymous\":false,\"sticky\":true,\"gapTargetMs\":300}],"
        + "\"services\":[{\"name\":\"s\",\"healthPath\":\"/health\","
        + "\"maxConnections\":490,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,"
        + "\"coldPerS\":11.0,\"engine\":{\"slots\":96,\"kvTokens\":178306}}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"tokensPerS\":273000},"
        + "\"tenants\":[{\"name\":\"t-1\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}";
  }

  private void respond(
      EngineStandIn engine, HttpReader.Head request, HttpReader in, OutputStream out)
      throws IOException, InterruptedException {
    in.body(request, part -> {});
    TimeUnit.MILLISECONDS.sleep(FIRST_EVENT_MS);
    if (request.header("prompt-prefix").contains(HARMFUL_PART)) {
      crash(engine, HARMFUL_DOWN_MS);
      return;
    }
    EngineStandIn.write(
        out,
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nEngine-Seal: "
            + engine.id()
            + "\r\nAttempt-Id: "
            + request.header("attempt-id")
            + "\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int id = 1; id <= EVENTS; id++) {
      String event = "id: " + id + "\ndata: x\n\n";
      EngineStandIn.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
      TimeUnit.MILLISECONDS.sleep(EVENT_INTERVAL_MS);
    }
    EngineStandIn.write(out, "0\r\n\r\n");
  }

  /** Lets engines crash; they are back after some time. */
  void crashEngines(int count, int downMs) throws IOException {
    for (EngineStandIn engine : engines.subList(0, count)) {
      crash(engine, downMs);
    }
  }

  private synchronized void crash(EngineStandIn engine, int downMs) throws IOException {
    engine.crash();
    crashes.incrementAndGet();
    clock.schedule(() -> restart(engine), downMs, TimeUnit.MILLISECONDS);
  }

  private void restart(EngineStandIn engine) {
    try {
      engine.restart("v1");
      engine.register(fleet.store());
    } catch (IOException e) {
      recorder.line("engine %s did not start: %s", engine.id(), e);
    }
  }

  int crashCount() {
    return crashes.get();
  }

  /** Sends sound requests from now on. */
  void sendSound(int intervalMs) {
    repeat(
        intervalMs,
        id -> {
          long sentNanos = System.nanoTime();
          send(
              "s" + id,
              "c0ffee" + (FIRST_SESSION + id % SESSIONS),
              router(id),
              status -> attempts.add(new Attempt(sentNanos, status)));
        });
  }

  /** Sends requests with the harmful part from now on. */
  void sendHarmful(int intervalMs) {
    repeat(intervalMs, id -> send("b" + id, HARMFUL_PART, router(id), status -> {}));
  }

  private void repeat(int intervalMs, IntConsumer task) {
    clock.scheduleAtFixedRate(
        () -> {
          int id = number.incrementAndGet();
          callers.execute(() -> task.accept(id));
        },
        0,
        intervalMs,
        TimeUnit.MILLISECONDS);
  }

  private Router router(int id) {
    return fleet.router(id % fleet.routers().size());
  }

  /** Waits, and returns how many of the sound requests that were sent meanwhile began. */
  Share measure(int durationMs) throws InterruptedException {
    long fromNanos = System.nanoTime();
    TimeUnit.MILLISECONDS.sleep(durationMs);
    long toNanos = System.nanoTime();
    TimeUnit.MILLISECONDS.sleep(ANSWER_MS);
    List<Attempt> sent =
        attempts.stream()
            .filter(each -> each.sentNanos - fromNanos >= 0 && each.sentNanos - toNanos < 0)
            .filter(each -> each.status != TOO_MANY)
            .toList();
    return new Share(sent.size(), sent.stream().filter(each -> each.status == OK).count());
  }

  /** Sends a request; the receiver gets the status of its answer, 0 if there is none. */
  private void send(String id, String secondPart, Router router, IntConsumer receiver) {
    int status = 0;
    try (Socket socket = new Socket()) {
      InetAddress address = InetAddress.getByName(router.host());
      socket.connect(new InetSocketAddress(address, router.port()), CONNECT_TIMEOUT_MS);
      socket.setSoTimeout(TIME_LIMIT_MS);
      EngineStandIn.write(socket.getOutputStream(), request(id, secondPart));
      HttpReader in = new HttpReader(new BufferedInputStream(socket.getInputStream()));
      HttpReader.Head head = in.head();
      status = head.status();
      receiver.accept(status);
      in.body(head, part -> {});
      recorder.line("%s at %s: status %d", id, router.name(), status);
    } catch (IOException e) {
      recorder.line("%s at %s: status %d, %s", id, router.name(), status, e.getMessage());
      if (status == 0) {
        receiver.accept(0);
      }
    }
  }

  private static String request(String id, String secondPart) {
    return "POST /s/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: "
        + id
        + "\r\nModel: m\r\nToken-Counts: 715,250\r\nPrompt-Prefix: "
        + FIRST_PART
        + ":103,"
        + secondPart
        + ":69,"
        + Integer.toHexString(id.hashCode())
        + ":543\r\nDeadline-Ms: "
        + TIME_LIMIT_MS
        + "\r\nAuthorization: Bearer key-1\r\nContent-Length: "
        + id.length()
        + "\r\n\r\n"
        + id;
  }

  @Override
  public void close() throws IOException {
    clock.shutdownNow();
    callers.shutdownNow();
    for (EngineStandIn engine : engines) {
      engine.close();
    }
  }
}
