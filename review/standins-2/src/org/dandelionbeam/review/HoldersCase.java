package org.dandelionbeam.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Engines limit their requests. One more engine starts while the store turns away the router that
 * grants the requests to them.
 */
public final class HoldersCase {
  /** The router that schedules the service: the one of this name, by the hash of the names. */
  private static final int TURNED_AWAY = 1;

  private static final int ENGINES = 10;
  private static final int LIMIT_PER_S = 10;
  private static final double OVERRUN = 1.5;
  private static final int TOLERANCE = 5;
  private static final int WINDOW_S = 4;
  private static final int STABLE_MS = 3_000;
  private static final int CALLERS_PER_ROUTER = 60;
  private static final int SETTLE_MS = 5_000;

  /** Time in which all machines have passed on answers that name the limits. */
  private static final int LIMITED_MS = 6_000;

  private static final int LEAD_MS = 500;
  private static final int TURNED_AWAY_MS = 9_000;
  private static final int PAUSE_MS = 50;
  private static final int TIME_LIMIT_MS = 3_000;
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final String SERVICE = "s";
  private static final String NETWORK = "127.0.53.";
  private static final int FIRST_HOST = 31;
  private static final int ZONES = 3;

  private final Recorder recorder;
  private final Fleet fleet;
  private final boolean turnAway;
  private final List<EngineStandIn> engines = new ArrayList<>();
  private final Map<String, Queue<Long>> arrivals = new ConcurrentHashMap<>();
  private final AtomicInteger number = new AtomicInteger();
  private final ExecutorService callers = Executors.newCachedThreadPool();
  private volatile boolean ended;

  private HoldersCase(Recorder recorder, Fleet fleet, boolean turnAway) {
    this.recorder = recorder;
    this.fleet = fleet;
    this.turnAway = turnAway;
  }

  /**
   * Runs the case.
   *
   * @param args whether the store turns the router away, and the file for the record
   */
  public static void main(String[] args) {
    boolean turnAway = Boolean.parseBoolean(args[0]);
    System.exit(
        Fleet.play(
            Path.of(args[1]),
            (recorder, fleet) -> new HoldersCase(recorder, fleet, turnAway).run()));
  }

  private int run() throws IOException, InterruptedException {
    try {
      fleet.store().put("op/config", configuration());
      for (int i = 0; i < ENGINES; i++) {
        startEngine();
      }
      fleet.start();
      TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
      for (Router router : fleet.routers()) {
        for (int i = 0; i < CALLERS_PER_ROUTER; i++) {
          callers.execute(() -> call(router));
        }
      }
      TimeUnit.MILLISECONDS.sleep(LIMITED_MS);
      long fromNanos = System.nanoTime();
      String storeHost = Fleet.storeHost(TURNED_AWAY);
      if (turnAway) {
        fleet.store().turnAway(storeHost);
        recorder.line("the store turns %s away", fleet.router(TURNED_AWAY).name());
      }
      TimeUnit.MILLISECONDS.sleep(LEAD_MS);
      startEngine();
      TimeUnit.MILLISECONDS.sleep(TURNED_AWAY_MS - LEAD_MS);
      fleet.store().readmit(storeHost);
      return judge(fromNanos);
    } finally {
      ended = true;
      callers.shutdownNow();
      for (EngineStandIn engine : engines) {
        engine.close();
      }
    }
  }

  private void startEngine() throws IOException {
    int i = engines.size();
    EngineStandIn engine =
        new EngineStandIn(
            "i-" + i,
            SERVICE,
            "abc".substring(i % ZONES, i % ZONES + 1),
            "v1",
            NETWORK + (FIRST_HOST + i),
            recorder,
            this::respond);
    engines.add(engine);
    engine.register(fleet.store());
  }

  private static String configuration() {
    return "{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"h.example\","
        + "\"prefix\":\"/s/\",\"routeType\":\"idempotent\",\"timeoutMs\":1500,"
        + "\"targetLatencyMs\":300,\"priority\":2,\"backend\":\"s\",\"maxAttempts\":2,"
        + "\"anonymous\":true}],\"services\":[{\"name\":\"s\",\"healthPath\":\"/health\","
        + "\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,"
        + "\"coldPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
  }

  private void respond(
      EngineStandIn engine, HttpReader.Head request, HttpReader in, OutputStream out)
      throws IOException {
    in.body(request, part -> {});
    arrivals
        .computeIfAbsent(engine.id(), id -> new ConcurrentLinkedQueue<>())
        .add(System.nanoTime());
    EngineStandIn.write(
        out,
        "HTTP/1.1 200 OK\r\nEngine-Seal: "
            + engine.id()
            + "\r\nAttempt-Id: "
            + request.header("attempt-id")
            + "\r\nServer-Limit: "
            + LIMIT_PER_S
            + "\r\nContent-Length: 2\r\n\r\nok");
  }

  /** Sends one request after the other. */
  private void call(Router router) {
    while (!ended) {
      try (Socket socket = new Socket()) {
        InetAddress address = InetAddress.getByName(router.host());
        socket.connect(new InetSocketAddress(address, router.port()), CONNECT_TIMEOUT_MS);
        socket.setSoTimeout(TIME_LIMIT_MS);
        socket.setTcpNoDelay(true);
        HttpReader in = new HttpReader(new BufferedInputStream(socket.getInputStream()));
        while (!ended) {
          EngineStandIn.write(socket.getOutputStream(), request());
          HttpReader.Head head = in.head();
          in.body(head, part -> {});
          TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        }
      } catch (IOException e) {
        recorder.line("a call to %s failed: %s", router.name(), e.getMessage());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private String request() {
    int id = number.incrementAndGet();
    return "GET /s/"
        + id
        + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: r"
        + id
        + "\r\nDeadline-Ms: "
        + TIME_LIMIT_MS
        + "\r\n\r\n";
  }

  private int judge(long fromNanos) {
    double allowed = OVERRUN * LIMIT_PER_S * WINDOW_S + TOLERANCE;
    int most = 0;
    for (EngineStandIn engine : engines) {
      List<Long> times =
          arrivals.getOrDefault(engine.id(), new ConcurrentLinkedQueue<>()).stream()
              .sorted()
              .toList();
      int found = mostInWindow(times, fromNanos);
      recorder.line("engine %s got at most %d requests in %d s", engine.id(), found, WINDOW_S);
      most = Math.max(most, found);
    }
    recorder.line("most %d, allowed %.0f", most, allowed);
    if (most == 0) {
      return Fleet.NOT_RUN;
    }
    recorder.line(most > allowed ? "the rule is broken" : "the rule held");
    return most > allowed ? Fleet.BROKEN : Fleet.HELD;
  }

  /** Counts from a moment on, and from when an engine has named its limit for long enough. */
  private static int mostInWindow(List<Long> times, long fromNanos) {
    if (times.isEmpty()) {
      return 0;
    }
    long namedNanos = times.get(0) + TimeUnit.MILLISECONDS.toNanos(STABLE_MS);
    List<Long> counted =
        times.stream().filter(time -> time - fromNanos >= 0 && time - namedNanos >= 0).toList();
    long windowNanos = TimeUnit.SECONDS.toNanos(WINDOW_S);
    int most = 0;
    int first = 0;
    for (int last = 0; last < counted.size(); last++) {
      while (counted.get(last) - counted.get(first) > windowNanos) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }
}
