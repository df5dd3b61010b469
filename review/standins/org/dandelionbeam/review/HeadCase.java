package org.dandelionbeam.review;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** All engines crash while clients ask by HEAD on kept channels and go on to use these. */
final class HeadCase {
  private static final int ENGINES = 3;
  private static final int SLOTS = 6;
  private static final long WORK_MS = 60;
  private static final int LIMIT_MS = 3_000;
  private static final int REQUESTS = 9;

  private HeadCase() {}

  /** Runs the case; the argument is the folder for the record. */
  public static void main(String[] args) throws IOException, InterruptedException {
    int status = Case.NOT_RUN;
    try (Record record = Record.in(Path.of(args[0]));
        Deployment deployment = Deployment.start(record, ENGINES, SLOTS, WORK_MS, LIMIT_MS)) {
      status = run(record, deployment);
    }
    System.exit(status);
  }

  private static int run(Record record, Deployment deployment) throws InterruptedException {
    if (Case.hasTrouble()) {
      deployment.engines().forEach(Engine::close);
      record.line("all engines have crashed");
    }
    TimeUnit.MILLISECONDS.sleep(100);
    int foreign = 0;
    for (int i = 0; i < REQUESTS; i++) {
      RouterProcess router = deployment.routers().get(i % deployment.routers().size());
      foreign += ask(record, router, i) ? 0 : 1;
    }
    record.result(
        "MIXED %s: %d of %d kept channels held bytes that are no answer",
        foreign == 0 ? "held" : "broken", foreign, REQUESTS);
    return foreign == 0 ? Case.HELD : Case.BROKEN;
  }

  /** Sends HEAD and then GET on one channel; returns whether an answer begins where it is due. */
  private static boolean ask(Record record, RouterProcess router, int number) {
    try (Socket socket = new Socket()) {
      socket.connect(router.callers(), LIMIT_MS);
      socket.setSoTimeout(2 * LIMIT_MS);
      String deadline = Integer.toString(LIMIT_MS);
      String path = Deployment.LOOKUP_PATH + "/" + number;
      HttpClientMessage.writeHead(
          socket, "HEAD " + path + " HTTP/1.1", Client.headers("a" + number, deadline));
      HttpClientMessage first = HttpClientMessage.read(socket, true);
      record.line("HEAD %s: %s %s", path, first.startLine(), first.headers());
      if (first.header("connection").equalsIgnoreCase("close")) {
        return true;
      }
      HttpClientMessage.writeHead(
          socket, "GET " + path + " HTTP/1.1", Client.headers("b" + number, deadline));
      HttpClientMessage second = HttpClientMessage.read(socket, false);
      record.line("GET %s: %s", path, second.startLine());
      return second.startLine().startsWith("HTTP/1.1 ");
    } catch (IOException e) {
      record.line("channel %d: %s", number, e);
      return false;
    }
  }
}
