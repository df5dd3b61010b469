package org.dandelionbeam.review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * For two seconds, an entry of another writer with a field of another type lies beside the engines'
 * entries. Later the engines are replaced one after the other, while few requests come.
 */
final class DrainingEngineCase {
  private static final int ENGINES = 3;
  private static final int SLOTS = 6;
  private static final long WORK_MS = 60;
  private static final int LIMIT_MS = 3_000;
  private static final long DRAIN_MS = 2_000;
  private static final long LONGER_MS = 500;
  private static final long FOREIGN_ENTRY_S = 2;
  private static final long SETTLE_S = 4;
  private static final int REQUESTS = 20;
  private static final int REQUEST_PAUSE_MS = 50;

  private DrainingEngineCase() {}

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
    if (send(deployment, client) < REQUESTS) {
      record.result("could not run: requests fail before the disruption");
      return Case.NOT_RUN;
    }
    if (Case.hasTrouble()) {
      deployment.store().put(Case.FOREIGN_KEY, Case.FOREIGN_ENTRY, 0);
      record.line("another writer puts %s: %s", Case.FOREIGN_KEY, Case.FOREIGN_ENTRY);
      TimeUnit.SECONDS.sleep(FOREIGN_ENTRY_S);
      deployment.store().remove(Case.FOREIGN_KEY);
      record.line("it removes %s", Case.FOREIGN_KEY);
    }
    TimeUnit.SECONDS.sleep(SETTLE_S);
    int late = 0;
    for (Engine old : List.copyOf(deployment.engines())) {
      late += replace(record, deployment, client, old);
    }
    int served = send(deployment, client);
    record.result(
        "DRAIN %s: %d requests reached leaving engines later than drainMs; afterwards %d of %d"
            + " requests are served by the new engines",
        late == 0 ? "held" : "broken", late, served, REQUESTS);
    return late == 0 ? Case.HELD : Case.BROKEN;
  }

  /** Replaces an engine; returns how many requests reach it too late. */
  private static int replace(Record record, Deployment deployment, Client client, Engine old)
      throws IOException, InterruptedException {
    deployment.addEngine(old.id() + "b", old.zone(), SLOTS, WORK_MS);
    TimeUnit.SECONDS.sleep(FOREIGN_ENTRY_S);
    long bound = old.drain() + TimeUnit.MILLISECONDS.toNanos(DRAIN_MS);
    TimeUnit.MILLISECONDS.sleep(DRAIN_MS + LONGER_MS);
    send(deployment, client);
    List<Engine.Arrival> late =
        old.arrivals().stream().filter(arrival -> arrival.nanos() - bound > 0).toList();
    for (Engine.Arrival arrival : late) {
      long lateMs = TimeUnit.NANOSECONDS.toMillis(arrival.nanos() - bound);
      record.line("%s got %s %d ms after drainMs", old.id(), arrival.attemptId(), lateMs);
    }
    old.leave();
    return late.size();
  }

  private static int send(Deployment deployment, Client client) throws InterruptedException {
    int served = 0;
    for (int i = 0; i < REQUESTS; i++) {
      RouterProcess router = deployment.routers().get(i % deployment.routers().size());
      served +=
          client.send(router.callers(), "GET", Deployment.LOOKUP_PATH, LIMIT_MS).isServed() ? 1 : 0;
      Thread.sleep(REQUEST_PAUSE_MS);
    }
    return served;
  }
}
