package org.dandelionbeam.review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** An engine crashes and starts again under its id, cold, while the store is down. */
final class ColdEngineCase {
  private static final int ENGINES = 3;
  private static final int SLOTS = 24;
  private static final long WORK_MS = 60;
  private static final int LIMIT_MS = 3_000;
  private static final int REQUESTS_PER_S = 150;
  private static final long WARM_UP_S = 5;
  private static final long ENGINE_DOWN_S = 1;

  /** How far above the bound a cold engine crashes. */
  private static final double CRASH_FACTOR = 2;

  private static final double COLD_PER_S = 11;
  private static final double COLD_OVERRUN = 1.5;
  private static final double COLD_TOLERANCE = 5;
  private static final double BOUND = COLD_PER_S * COLD_OVERRUN + COLD_TOLERANCE;
  private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private ColdEngineCase() {}

  /** Runs the case; the argument is the folder for the record. */
  public static void main(String[] args) throws IOException, InterruptedException {
    int status = Case.NOT_RUN;
    try (Record record = Record.in(Path.of(args[0]));
        Deployment deployment = Deployment.start(record, ENGINES, SLOTS, WORK_MS, LIMIT_MS)) {
      status = run(record, deployment);
    }
    System.exit(status);
  }

  private static int run(Record record, Deployment deployment)
      throws IOException, InterruptedException {
    Client client = new Client(record);
    Queue<Client.Outcome> outcomes = new ConcurrentLinkedQueue<>();
    Thread load = new Thread(() -> load(deployment, client, outcomes));
    load.start();
    TimeUnit.SECONDS.sleep(WARM_UP_S);
    Engine engine = deployment.engines().get(0);
    engine.crashAbove(CRASH_FACTOR * BOUND);
    if (Case.hasTrouble() && System.getenv("STORE_UP") == null) {
      deployment.store().down(true);
      record.line("the store is down");
    }
    TimeUnit.SECONDS.sleep(ENGINE_DOWN_S);
    if (Case.hasTrouble()) {
      engine.crash();
      TimeUnit.SECONDS.sleep(ENGINE_DOWN_S);
      engine.restart();
    }
    long startNanos = System.nanoTime();
    TimeUnit.MILLISECONDS.sleep(Engine.COLD_START_MS);
    deployment.store().down(false);
    record.line("the store is back");
    TimeUnit.SECONDS.sleep(WARM_UP_S);
    load.interrupt();
    load.join();
    return judge(record, engine, startNanos, outcomes);
  }

  private static int judge(
      Record record, Engine engine, long startNanos, Queue<Client.Outcome> outcomes) {
    long end = startNanos + TimeUnit.MILLISECONDS.toNanos(Engine.COLD_START_MS);
    List<Long> cold =
        engine.arrivals().stream()
            .map(Engine.Arrival::nanos)
            .filter(nanos -> nanos - startNanos >= 0 && nanos - end < 0)
            .toList();
    int most = Case.hasTrouble() ? mostInASecond(cold) : 0;
    long lost =
        engine.arrivals().stream()
            .filter(arrival -> arrival.nanos() - startNanos >= 0)
            .filter(arrival -> isUnserved(arrival.attemptId(), outcomes))
            .count();
    record.result(
        "FAILBACK %s: the cold engine got up to %d requests in a second, %.1f are allowed; it"
            + " crashed %d times of that, with %d bookings that it had begun; %d of %d served",
        most > BOUND ? "broken" : "held",
        most,
        BOUND,
        engine.overloads(),
        lost,
        outcomes.stream().filter(Client.Outcome::isServed).count(),
        outcomes.size());
    return most > BOUND ? Case.BROKEN : Case.HELD;
  }

  private static boolean isUnserved(String attemptId, Queue<Client.Outcome> outcomes) {
    return outcomes.stream()
        .anyMatch(outcome -> outcome.attemptId().equals(attemptId) && !outcome.isServed());
  }

  private static int mostInASecond(List<Long> arrivals) {
    int most = 0;
    for (long first : arrivals) {
      long count =
          arrivals.stream()
              .filter(nanos -> nanos - first >= 0 && nanos - first < NANOS_PER_SECOND)
              .count();
      most = Math.max(most, (int) count);
    }
    return most;
  }

  private static void load(Deployment deployment, Client client, Queue<Client.Outcome> outcomes) {
    ExecutorService threads = Executors.newCachedThreadPool();
    long pauseNanos = NANOS_PER_SECOND / REQUESTS_PER_S;
    long next = System.nanoTime();
    int number = 0;
    try {
      while (true) {
        RouterProcess router = deployment.routers().get(number % deployment.routers().size());
        threads.execute(
            () ->
                outcomes.add(
                    client.send(router.callers(), "POST", Deployment.BOOKING_PATH, LIMIT_MS)));
        number++;
        next += pauseNanos;
        TimeUnit.NANOSECONDS.sleep(Math.max(0, next - System.nanoTime()));
      }
    } catch (InterruptedException e) {
      threads.shutdown();
    }
  }
}
