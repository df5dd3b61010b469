package org.dandelionbeam.review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The engines of a zone, of two services, crash and come back together. */
final class ForeignServiceCase {
  private static final int BOOKING_ENGINES = 1;
  private static final int SLOTS = 6;
  private static final long WORK_MS = 60;
  private static final int LIMIT_MS = 3_000;
  private static final int REQUESTS = 30;
  private static final long DOWN_MS = 1_500;
  private static final long SETTLE_S = 5;
  private static final int MAX_DIFFERENCE_MS = 1_000;

  private ForeignServiceCase() {}

  /** Runs the case; the argument is the folder for the record. */
  public static void main(String[] args) throws IOException, InterruptedException {
    int status = Case.NOT_RUN;
    try (Record record = Record.in(Path.of(args[0]));
        Deployment deployment =
            Deployment.start(record, BOOKING_ENGINES, SLOTS, WORK_MS, LIMIT_MS)) {
      status = run(record, deployment);
    }
    System.exit(status);
  }

  private static int run(Record record, Deployment deployment)
      throws IOException, InterruptedException {
    Engine booking = deployment.engines().get(0);
    Engine query =
        deployment.addEngine(
            "i-7f3a91c1", Deployment.QUERY_SERVICE, booking.zone(), SLOTS, WORK_MS);
    deployment.addEngine("i-2b90e4d7", "zon-tengah", SLOTS, WORK_MS);
    deployment.addEngine("i-c41f6a08", Deployment.QUERY_SERVICE, "zon-tengah", SLOTS, WORK_MS);
    TimeUnit.SECONDS.sleep(SETTLE_S);
    if (Case.hasTrouble()) {
      restartTogether(record, booking, query);
    }
    TimeUnit.SECONDS.sleep(SETTLE_S);
    Map<String, String> serviceOf = new HashMap<>();
    int served = send(deployment, new Client(record), serviceOf);
    int foreign = 0;
    for (Engine engine : deployment.engines()) {
      for (Engine.Arrival arrival : engine.arrivals()) {
        String wanted = serviceOf.get(arrival.attemptId());
        if (!engine.service().equals(wanted)) {
          foreign++;
          record.line(
              "%s of service %s ran %s, whose route leads to %s",
              engine.id(), engine.service(), arrival.attemptId(), wanted);
        }
      }
    }
    record.result(
        "ROUTE %s: %d of %d requests were run by a service to which their route does not lead;"
            + " %d served",
        foreign == 0 ? "held" : "broken", foreign, serviceOf.size(), served);
    return foreign == 0 ? Case.HELD : Case.BROKEN;
  }

  /** Sends bookings and queries in turn; returns how many of them are served. */
  private static int send(Deployment deployment, Client client, Map<String, String> serviceOf) {
    List<RouterProcess> routers = deployment.routers();
    int served = 0;
    for (int i = 0; i < REQUESTS; i++) {
      RouterProcess router = routers.get(i % routers.size());
      Client.Outcome booking =
          client.send(router.callers(), "POST", Deployment.BOOKING_PATH, LIMIT_MS);
      serviceOf.put(booking.attemptId(), Deployment.SERVICE);
      Client.Outcome query = client.send(router.callers(), "GET", Deployment.QUERY_PATH, LIMIT_MS);
      serviceOf.put(query.attemptId(), Deployment.QUERY_SERVICE);
      served += (booking.isServed() ? 1 : 0) + (query.isServed() ? 1 : 0);
    }
    return served;
  }

  /** Crashes two engines and starts them again in milliseconds that give them one number. */
  private static void restartTogether(Record record, Engine booking, Engine query)
      throws IOException, InterruptedException {
    booking.crash();
    query.crash();
    TimeUnit.MILLISECONDS.sleep(DOWN_MS);
    long bookingMs = System.currentTimeMillis() + MAX_DIFFERENCE_MS;
    long queryMs = bookingMs - MAX_DIFFERENCE_MS;
    while (number(query.id(), queryMs) != number(booking.id(), bookingMs)) {
      queryMs++;
    }
    record.line("%s starts again %d ms after %s", query.id(), queryMs - bookingMs, booking.id());
    if (queryMs < bookingMs) {
      query.restartAt(queryMs);
      booking.restartAt(bookingMs);
    } else {
      booking.restartAt(bookingMs);
      query.restartAt(queryMs);
    }
  }

  /** Returns what routers make of an id and the time of a start. */
  private static int number(String id, long bornMs) {
    return 31 * id.hashCode() + Long.hashCode(bornMs);
  }
}
