package org.dandelionbeam.review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** A router gets SIGTERM while clients that keep an answer of the directory send bookings to it. */
final class StoppingRouterCase {
  private static final int ENGINES = 3;
  private static final int SLOTS = 24;
  private static final long WORK_MS = 2_500;
  private static final int LIMIT_MS = 3_000;
  private static final long FIRST_REQUEST_MS = 3_100;
  private static final long LAST_REQUEST_MS = 5_400;
  private static final long REQUEST_PAUSE_MS = 50;
  private static final long GRACE_MS = 8_000;
  private static final long LOSS_SLACK_MS = 200;

  private StoppingRouterCase() {}

  /** Runs the case; the argument is the folder for the record. */
  public static void main(String[] args) throws IOException, InterruptedException {
    int status = Case.NOT_RUN;
    try (Record record = Record.in(Path.of(args[0]));
        Deployment deployment = Deployment.start(record, ENGINES, SLOTS, WORK_MS, LIMIT_MS)) {
      status = run(record, deployment);
    } catch (ExecutionException e) {
      e.printStackTrace();
    }
    System.exit(status);
  }

  private static int run(Record record, Deployment deployment)
      throws InterruptedException, ExecutionException {
    Client client = new Client(record);
    RouterProcess stopped = deployment.routers().get(0);
    if (!client.send(stopped.callers(), "POST", Deployment.BOOKING_PATH, LIMIT_MS).isServed()) {
      record.result("could not run: a booking fails before the disruption");
      return Case.NOT_RUN;
    }
    String directory = client.resolve(deployment.routers().get(1).directory(), "zon-utara");
    record.line("directory of another router: %s", directory);
    if (!directory.contains(Client.address(stopped.callers()))) {
      record.result("could not run: the directory does not name the router");
      return Case.NOT_RUN;
    }
    long start = System.nanoTime();
    if (Case.hasTrouble()) {
      stopped.terminate();
      record.line("SIGTERM to %s", stopped.name());
    }
    List<Client.Outcome> outcomes = sendAll(client, stopped.callers(), start);
    if (Case.hasTrouble()) {
      stopped.awaitEnd(GRACE_MS);
      record.line("%s runs: %s", stopped.name(), stopped.isRunning());
    }
    return judge(record, deployment, outcomes, start);
  }

  private static List<Client.Outcome> sendAll(
      Client client, InetSocketAddress router, long startNanos)
      throws InterruptedException, ExecutionException {
    ExecutorService threads = Executors.newCachedThreadPool();
    List<Future<Client.Outcome>> running = new ArrayList<>();
    for (long at = FIRST_REQUEST_MS; at <= LAST_REQUEST_MS; at += REQUEST_PAUSE_MS) {
      long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      Thread.sleep(Math.max(0, at - elapsedMs));
      running.add(
          threads.submit(() -> client.send(router, "POST", Deployment.BOOKING_PATH, LIMIT_MS)));
    }
    List<Client.Outcome> outcomes = new ArrayList<>();
    for (Future<Client.Outcome> outcome : running) {
      outcomes.add(outcome.get());
    }
    threads.shutdown();
    return outcomes;
  }

  /** Counts requests that an engine ran and whose channel ended without an answer. */
  private static int judge(
      Record record, Deployment deployment, List<Client.Outcome> outcomes, long startNanos) {
    Set<String> passedOn = new HashSet<>();
    deployment
        .engines()
        .forEach(engine -> engine.arrivals().forEach(arrival -> passedOn.add(arrival.attemptId())));
    int lost = 0;
    for (Client.Outcome outcome : outcomes) {
      long sentMs = TimeUnit.NANOSECONDS.toMillis(outcome.sentNanos() - startNanos);
      long tookMs = TimeUnit.NANOSECONDS.toMillis(outcome.endNanos() - outcome.sentNanos());
      boolean isLost =
          outcome.sent()
              && !outcome.complete()
              && passedOn.contains(outcome.attemptId())
              && tookMs > LOSS_SLACK_MS
              && tookMs < LIMIT_MS;
      lost += isLost ? 1 : 0;
      record.line(
          "%s sent at %d ms, took %d ms, status %d, run by an engine: %s%s",
          outcome.attemptId(),
          sentMs,
          tookMs,
          outcome.status(),
          passedOn.contains(outcome.attemptId()),
          isLost ? ": LOST" : "");
    }
    record.result(
        "LOST %s: %d of %d bookings were passed on and never answered",
        lost == 0 ? "held" : "broken", lost, outcomes.size());
    return lost == 0 ? Case.HELD : Case.BROKEN;
  }
}
