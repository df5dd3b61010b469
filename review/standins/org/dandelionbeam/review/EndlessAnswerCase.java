package org.dandelionbeam.review;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Half of the model engines answer without end, while bookings go to sound engines. */
final class EndlessAnswerCase {
  private static final int ENGINES = 3;
  private static final int SLOTS = 24;
  private static final long WORK_MS = 60;
  private static final int MODEL_ENGINES = 12;
  private static final int MODEL_SLOTS = 96;
  private static final long DRAFT_MS = 3_000;
  private static final int DRAFT_CLIENTS = 600;
  private static final int KEPT_CHANNELS_PER_ROUTER = 8;
  private static final int TIMEOUT_MS = 3_000;
  private static final int SLACK_MS = 500;
  private static final int PAUSE_MS = 100;
  private static final int MIN_LATE = 8;
  private static final int BYTES_PER_SECOND = 100_000;
  private static final long CALM_S = 8;
  private static final long TROUBLE_S = 25;
  private static final String ID = "i-5e1f00d";

  private static volatile boolean ended;

  private EndlessAnswerCase() {}

  /** A booking, and whether its answer came before its timeout and some time after it. */
  private record Booking(boolean inTime, boolean answered) {}

  /** Runs the case; the argument is the folder for the record. */
  public static void main(String[] args) throws IOException, InterruptedException {
    int status = Case.NOT_RUN;
    try (Record record = Record.in(Path.of(args[0]));
        Deployment deployment = Deployment.start(record, ENGINES, SLOTS, WORK_MS, TIMEOUT_MS)) {
      status = run(record, deployment);
    }
    System.exit(status);
  }

  private static int run(Record record, Deployment deployment)
      throws IOException, InterruptedException {
    List<Engine> models = new ArrayList<>();
    for (int i = 0; i < MODEL_ENGINES; i++) {
      String id = ID + Integer.toHexString(i);
      models.add(
          deployment.addEngine(id, Deployment.MODEL_SERVICE, "zon-utara", MODEL_SLOTS, DRAFT_MS));
    }
    TimeUnit.MILLISECONDS.sleep(Engine.COLD_START_MS);
    Queue<Booking> bookings = new ConcurrentLinkedQueue<>();
    ExecutorService threads = Executors.newCachedThreadPool();
    Client client = new Client(record);
    for (int i = 0; i < DRAFT_CLIENTS; i++) {
      RouterProcess router = deployment.routers().get(i % deployment.routers().size());
      threads.execute(() -> draft(client, router));
    }
    for (RouterProcess router : deployment.routers()) {
      for (int i = 0; i < KEPT_CHANNELS_PER_ROUTER; i++) {
        int channel = i;
        threads.execute(() -> book(record, router, channel, bookings));
      }
    }
    TimeUnit.SECONDS.sleep(CALM_S);
    if (Case.hasTrouble()) {
      models
          .subList(0, MODEL_ENGINES / 2)
          .forEach(engine -> engine.answerWithoutEnd(BYTES_PER_SECOND));
      record.line("from now on half of the model engines answer without end");
    }
    TimeUnit.SECONDS.sleep(TROUBLE_S);
    ended = true;
    TimeUnit.MILLISECONDS.sleep(TIMEOUT_MS + 2 * SLACK_MS);
    threads.shutdownNow();
    return judge(record, bookings);
  }

  private static int judge(Record record, Queue<Booking> bookings) {
    long over = bookings.stream().filter(booking -> !booking.inTime).count();
    long late = bookings.stream().filter(booking -> !booking.answered).count();
    boolean broken = late >= MIN_LATE && 2 * late > over;
    record.result(
        "CONFIG %s: of %d bookings, %d had no answer at their route's timeout, and %d none half a"
            + " second later",
        broken ? "broken" : "held", bookings.size(), over, late);
    return broken ? Case.BROKEN : Case.HELD;
  }

  private static void draft(Client client, RouterProcess router) {
    while (!ended) {
      client.send(router.callers(), "POST", Deployment.DRAFT_PATH, Deployment.DRAFT_TIMEOUT_MS);
    }
  }

  /** Sends bookings on kept channels, one after the other. */
  private static void book(
      Record record, RouterProcess router, int channel, Queue<Booking> bookings) {
    int number = 0;
    while (!ended) {
      try (Socket socket = new Socket()) {
        socket.connect(router.callers(), TIMEOUT_MS);
        boolean kept = true;
        while (kept && !ended) {
          number++;
          String id = router.name() + "-" + channel + "-" + number;
          kept = bookOn(record, socket, id, bookings);
          TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        }
      } catch (IOException e) {
        record.line("%s: %s", router.name(), e);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends one booking; returns whether its channel is kept. */
  private static boolean bookOn(Record record, Socket socket, String id, Queue<Booking> bookings)
      throws IOException {
    socket.setSoTimeout(TIMEOUT_MS + SLACK_MS);
    HttpClientMessage.writeHead(
        socket,
        "POST " + Deployment.BOOKING_PATH + " HTTP/1.1",
        Client.headers(id, Integer.toString(TIMEOUT_MS)));
    long sentNanos = System.nanoTime();
    record.line("client sends booking %s", id);
    try {
      HttpClientMessage answer = HttpClientMessage.read(socket, false);
      long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
      bookings.add(new Booking(tookMs < TIMEOUT_MS, tookMs < TIMEOUT_MS + SLACK_MS));
      record.line("booking %s: %d after %d ms", id, answer.status(), tookMs);
      return !answer.header("connection").equalsIgnoreCase("close");
    } catch (SocketTimeoutException e) {
      bookings.add(new Booking(false, false));
      record.line("booking %s: no answer after %d ms", id, TIMEOUT_MS + SLACK_MS);
      return false;
    }
  }
}
