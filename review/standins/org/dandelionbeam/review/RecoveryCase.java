package org.dandelionbeam.review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * All engines of a service crash together while callers look up one thing, and come back; then all
 * routers are killed and start again.
 */
final class RecoveryCase {
  private static final int ENGINES = 3;
  private static final int SLOTS = 6;
  private static final long WORK_MS = 86;
  private static final int LIMIT_MS = 3_000;
  private static final int REQUESTS_PER_S = 60;
  private static final long CALM_S = 6;
  private static final long ENGINES_DOWN_S = 2;
  private static final long RECOVER_S = 12;
  private static final long MEASURED_S = 10;
  private static final long START_TIMEOUT_S = 20;
  private static final long KILL_TIMEOUT_MS = 1_000;
  private static final double SERVED_SHARE = 0.25;
  private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private RecoveryCase() {}

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
    Queue<Client.Outcome> outcomes = new ConcurrentLinkedQueue<>();
    Client client = new Client(record);
    Thread load = new Thread(() -> load(deployment, client, outcomes));
    load.start();
    TimeUnit.SECONDS.sleep(CALM_S);
    long faultNanos = System.nanoTime();
    if (Case.hasTrouble()) {
      if (System.getenv("ENGINES_UP") == null) {
        crashAndRestart(deployment.engines());
      }
      killAndRestart(record, deployment.routers());
    }
    long backNanos = System.nanoTime();
    TimeUnit.SECONDS.sleep(RECOVER_S + MEASURED_S);
    load.interrupt();
    load.join();
    TimeUnit.MILLISECONDS.sleep(LIMIT_MS);
    double before = servedShare(outcomes, 0, faultNanos);
    double after =
        servedShare(outcomes, backNanos + RECOVER_S * NANOS_PER_SECOND, System.nanoTime());
    boolean broken = before >= SERVED_SHARE && after < SERVED_SHARE;
    outcomes.stream()
        .collect(Collectors.groupingBy(Client.Outcome::status, TreeMap::new, Collectors.counting()))
        .forEach((status, count) -> record.line("answers with status %d: %d", status, count));
    record.result(
        "RECOVER %s: %.2f of the requests were served before the fault, %.2f later than %d s after"
            + " the routers were back",
        broken ? "broken" : "held", before, after, RECOVER_S);
    return broken ? Case.BROKEN : Case.HELD;
  }

  private static void crashAndRestart(List<Engine> engines)
      throws IOException, InterruptedException {
    for (Engine engine : engines) {
      engine.crash();
    }
    TimeUnit.SECONDS.sleep(ENGINES_DOWN_S);
    for (Engine engine : engines) {
      engine.restart();
    }
  }

  private static void killAndRestart(Record record, List<RouterProcess> routers)
      throws IOException, InterruptedException {
    for (RouterProcess router : routers) {
      router.close();
    }
    for (RouterProcess router : routers) {
      router.awaitEnd(KILL_TIMEOUT_MS);
    }
    record.line("all routers are killed");
    for (RouterProcess router : routers) {
      router.start();
    }
    for (RouterProcess router : routers) {
      router.awaitReady(START_TIMEOUT_S);
    }
    record.line("all routers are back");
  }

  private static double servedShare(Queue<Client.Outcome> outcomes, long from, long to) {
    List<Client.Outcome> sent =
        outcomes.stream()
            .filter(outcome -> outcome.sentNanos() - from >= 0 && outcome.sentNanos() - to < 0)
            .toList();
    long served = sent.stream().filter(Client.Outcome::isServed).count();
    return sent.isEmpty() ? 0 : (double) served / sent.size();
  }

  private static void load(Deployment deployment, Client client, Queue<Client.Outcome> outcomes) {
    ExecutorService threads = Executors.newCachedThreadPool();
    long next = System.nanoTime();
    int number = 0;
    try {
      while (true) {
        RouterProcess router = deployment.routers().get(number % deployment.routers().size());
        threads.execute(
            () ->
                outcomes.add(
                    client.send(router.callers(), "GET", Deployment.LOOKUP_PATH, LIMIT_MS)));
        number++;
        next += NANOS_PER_SECOND / REQUESTS_PER_S;
        TimeUnit.NANOSECONDS.sleep(Math.max(0, next - System.nanoTime()));
      }
    } catch (InterruptedException e) {
      threads.shutdown();
    }
  }
}
