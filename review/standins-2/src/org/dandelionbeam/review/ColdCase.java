package org.dandelionbeam.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Engines become cold again, as they say in their entries and health responses, while the store
 * turns away the router that schedules them. A cold engine crashes of more requests than the rules
 * allow.
 */
public final class ColdCase implements AutoCloseable {
  /** The router that schedules the service: the one of this name, by the hash of the names. */
  private static final int TURNED_AWAY = 1;

  private static final String SERVICE = "s";
  private static final String NETWORK = "127.0.53.";
  private static final int FIRST_HOST = 31;
  private static final int ENGINES = 8;
  private static final int ZONES = 3;

  /** The engines of one zone. */
  private static final List<Integer> COLD_ENGINES = List.of(1, 4, 7);

  /** Model requests of inyenyeri-carols on its busiest day: 168.3 of 193.8 of 213 a second. */
  private static final double REQUESTS_PER_S = 185.0;

  private static final int PROMPTS = 100;
  private static final int EVENTS = 6;
  private static final int FIRST_EVENT_MS = 40;
  private static final int EVENT_INTERVAL_MS = 20;
  private static final int TIME_LIMIT_MS = 5_000;
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  private static final double COLD_PER_S = 11.0;
  private static final double COLD_OVERRUN = 1.5;
  private static final int COLD_TOLERANCE = 5;
  private static final double ALLOWED_PER_S = COLD_PER_S * COLD_OVERRUN + COLD_TOLERANCE;
  private static final int COLD_MS = 3_000;

  private static final int SETTLE_MS = 5_000;
  private static final int LOADED_MS = 4_000;

  /** Time from the turning away until the engines become cold; more than {@code stableMs}. */
  private static final int COLD_DELAY_MS = 4_500;

  private static final int TURNED_AWAY_MS = 8_500;

  /** Time in which routers may learn that an engine is cold; requests count from then on. */
  private static final int KNOWN_MS = 1_000;

  /** Time after which an engine is back that has crashed. */
  private static final int DOWN_MS = 2_000;

  private final Recorder recorder;
  private final Fleet fleet;
  private final boolean turnAway;
  private volatile long coldNanos = Long.MAX_VALUE;
  private volatile boolean ended;
  private final List<EngineStandIn> engines = new ArrayList<>();
  private final Map<String, Queue<Long>> arrivals = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> answers = new ConcurrentSkipListMap<>();
  private final AtomicInteger crashes = new AtomicInteger();
  private final AtomicInteger number = new AtomicInteger();
  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final ScheduledExecutorService clock = Executors.newScheduledThreadPool(1);

  private ColdCase(Recorder recorder, Fleet fleet, boolean turnAway) {
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
            (recorder, fleet) -> {
              try (ColdCase run = new ColdCase(recorder, fleet, turnAway)) {
                return run.run();
              }
            }));
  }

  private int run() throws IOException, InterruptedException {
    startEngines();
    fleet.start();
    TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
    long intervalNanos = (long) (TimeUnit.SECONDS.toNanos(1) / REQUESTS_PER_S);
    clock.scheduleAtFixedRate(
        () -> {
          int id = number.incrementAndGet();
          callers.execute(() -> send(id));
        },
        0,
        intervalNanos,
        TimeUnit.NANOSECONDS);
    TimeUnit.MILLISECONDS.sleep(LOADED_MS);
    String storeHost = Fleet.storeHost(TURNED_AWAY);
    if (turnAway) {
      fleet.store().turnAway(storeHost);
      recorder.line("the store turns %s away", fleet.router(TURNED_AWAY).name());
    }
    TimeUnit.MILLISECONDS.sleep(COLD_DELAY_MS);
    coldNanos = System.nanoTime();
    for (int engine : COLD_ENGINES) {
      engines.get(engine).becomeCold(fleet.store(), COLD_MS);
    }
    TimeUnit.MILLISECONDS.sleep(TURNED_AWAY_MS - COLD_DELAY_MS);
    if (turnAway) {
      fleet.store().readmit(storeHost);
      recorder.line("the store serves %s again", fleet.router(TURNED_AWAY).name());
    }
    return judge();
  }

  private void startEngines() throws IOException {
    fleet.store().put("op/config", configuration());
    for (int i = 0; i < ENGINES; i++) {
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
  }

  private static String configuration() {
    return "{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"h.example\","
        + "\"prefix\":\"/s/\",\"routeType\":\"streaming\",\"resumable\":false,"
        + "\"timeoutMs\":5000,\"targetLatencyMs\":600,\"priority\":1,\"backend\":\"s\","
        + "\"maxAttempts\":1,\"anonymous\":false,\"sticky\":false,\"gapTargetMs\":250}],"
        + "\"services\":[{\"name\":\"s\",\"healthPath\":\"/health\","
        + "\"maxConnections\":500,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,"
        + "\"coldPerS\":11.0,\"engine\":{\"slots\":96,\"kvTokens\":268250}}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,\"tokensPerS\":273000},"
        + "\"tenants\":[{\"name\":\"t-1\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}";
  }

  private void respond(
      EngineStandIn engine, HttpReader.Head request, HttpReader in, OutputStream out)
      throws IOException, InterruptedException {
    in.body(request, part -> {});
    recorder.line("%s reached engine %s", request.header("attempt-id"), engine.id());
    arrivals
        .computeIfAbsent(engine.id(), id -> new ConcurrentLinkedQueue<>())
        .add(System.nanoTime());
    if (mostWhileCold(engine) > ALLOWED_PER_S) {
      crash(engine);
      return;
    }
    TimeUnit.MILLISECONDS.sleep(FIRST_EVENT_MS);
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

  private synchronized void crash(EngineStandIn engine) throws IOException {
    if (!engine.isRunning()) {
      return;
    }
    engine.crash();
    crashes.incrementAndGet();
    clock.schedule(() -> restart(engine), DOWN_MS, TimeUnit.MILLISECONDS);
  }

  private void restart(EngineStandIn engine) {
    try {
      engine.restart("v1");
      engine.becomeCold(fleet.store(), COLD_MS);
    } catch (IOException e) {
      recorder.line("engine %s did not start: %s", engine.id(), e);
    }
  }

  private void send(int id) {
    Router router = fleet.router(id % fleet.routers().size());
    String answer = "none";
    try (Socket socket = new Socket()) {
      InetAddress address = InetAddress.getByName(router.host());
      socket.connect(new InetSocketAddress(address, router.port()), CONNECT_TIMEOUT_MS);
      socket.setSoTimeout(TIME_LIMIT_MS);
      EngineStandIn.write(socket.getOutputStream(), request(id));
      HttpReader in = new HttpReader(new BufferedInputStream(socket.getInputStream()));
      HttpReader.Head head = in.head();
      answer = head.status() + " broken off";
      in.body(head, part -> {});
      answer = String.valueOf(head.status());
    } catch (IOException e) {
      answer += ", " + e.getMessage();
    }
    if (ended) {
      return;
    }
    recorder.line("r%d at %s: %s", id, router.name(), answer);
    answers.computeIfAbsent(answer, key -> new AtomicInteger()).incrementAndGet();
  }

  private static String request(int id) {
    String body = "question " + id;
    return "POST /s/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: r"
        + id
        + "\r\nModel: m\r\nToken-Counts: 715,30\r\nPrompt-Prefix: "
        + Integer.toHexString(0x5c1e0000 + id % PROMPTS)
        + ":172,"
        + Integer.toHexString(body.hashCode())
        + ":543\r\nDeadline-Ms: "
        + TIME_LIMIT_MS
        + "\r\nAuthorization: Bearer key-1\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private int judge() {
    ended = true;
    recorder.line("answers: %s; cold engines that crashed: %d", answers, crashes.get());
    int most = 0;
    for (int i : COLD_ENGINES) {
      int found = mostWhileCold(engines.get(i));
      recorder.line("engine %s, cold: at most %d requests in a second", engines.get(i).id(), found);
      most = Math.max(most, found);
    }
    recorder.line("most at a cold engine %d, allowed %.1f", most, ALLOWED_PER_S);
    if (most == 0) {
      return Fleet.NOT_RUN;
    }
    recorder.line(most > ALLOWED_PER_S ? "the rule is broken" : "the rule held");
    return most > ALLOWED_PER_S ? Fleet.BROKEN : Fleet.HELD;
  }

  /** Counts the requests that an engine got in a second while it was known to be cold. */
  private int mostWhileCold(EngineStandIn engine) {
    if (coldNanos == Long.MAX_VALUE || !COLD_ENGINES.contains(engines.indexOf(engine))) {
      return 0;
    }
    long fromNanos = coldNanos + TimeUnit.MILLISECONDS.toNanos(KNOWN_MS);
    long toNanos = coldNanos + TimeUnit.MILLISECONDS.toNanos(COLD_MS);
    return mostInSecond(
        arrivals.getOrDefault(engine.id(), new ConcurrentLinkedQueue<>()).stream()
            .mapToLong(Long::longValue)
            .filter(time -> time - fromNanos >= 0 && time - toNanos <= 0)
            .sorted()
            .toArray());
  }

  private static int mostInSecond(long[] times) {
    long secondNanos = TimeUnit.SECONDS.toNanos(1);
    return (int)
        Arrays.stream(times)
            .map(
                from ->
                    Arrays.stream(times)
                        .filter(time -> time - from >= 0 && time - from < secondNanos)
                        .count())
            .max()
            .orElse(0);
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
