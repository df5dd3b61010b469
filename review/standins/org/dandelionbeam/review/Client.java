package org.dandelionbeam.review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A requester that opens a new channel for each request. Thread-safe. */
final class Client {
  static final String HOST = "ficu95.example";
  static final String KEY = "asnmgkcuyj8pjbvk9m68";
  private static final int CONNECT_TIMEOUT_MS = 1_000;
  private static final int PATIENCE_AFTER_LIMIT_MS = 3_000;
  private static final AtomicInteger LAST = new AtomicInteger();

  private final Record record;

  Client(Record record) {
    this.record = record;
  }

  /**
   * What became of a request.
   *
   * @param status the status, 0 if no head of an answer came
   * @param complete whether the answer was whole
   */
  record Outcome(
      String attemptId,
      int status,
      boolean complete,
      boolean sent,
      long sentNanos,
      long endNanos,
      String body) {
    boolean isServed() {
      return status == 200 && complete;
    }
  }

  /** Sends a request on a new channel and waits for its answer. */
  Outcome send(InetSocketAddress router, String method, String path, int limitMs) {
    return send(router, method, path, Integer.toString(limitMs), limitMs);
  }

  /** Sends a request whose time limit is stated as a text. */
  Outcome send(InetSocketAddress router, String method, String path, String deadline, int limitMs) {
    String attemptId = String.format("%016x", 0x9c41d07b00000000L + LAST.incrementAndGet());
    long sentNanos = System.nanoTime();
    boolean sent = false;
    try (Socket socket = new Socket()) {
      socket.connect(router, CONNECT_TIMEOUT_MS);
      socket.setSoTimeout(limitMs + PATIENCE_AFTER_LIMIT_MS);
      sentNanos = System.nanoTime();
      HttpClientMessage.write(
          socket, method + " " + path + " HTTP/1.1", headers(attemptId, deadline), new byte[0]);
      sent = true;
      record.line("client sends %s to %s", attemptId, router.getAddress().getHostAddress());
      HttpClientMessage answer = HttpClientMessage.read(socket, method.equals("HEAD"));
      Outcome outcome =
          new Outcome(
              attemptId,
              answer.status(),
              answer.complete(),
              true,
              sentNanos,
              System.nanoTime(),
              new String(answer.body(), StandardCharsets.ISO_8859_1));
      record.line("client has the answer to %s: %d", attemptId, outcome.status());
      return outcome;
    } catch (IOException e) {
      record.line("client has no answer to %s: %s", attemptId, e);
      return new Outcome(attemptId, 0, false, sent, sentNanos, System.nanoTime(), "");
    }
  }

  /** Returns an address as the directory writes it. */
  static String address(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Asks a directory; returns the body of its answer. */
  String resolve(InetSocketAddress directory, String zone) {
    try (Socket socket = new Socket()) {
      socket.connect(directory, CONNECT_TIMEOUT_MS);
      socket.setSoTimeout(CONNECT_TIMEOUT_MS);
      String query = "?name=" + HOST + "&region=semenanjung&zone=" + zone;
      HttpClientMessage.writeHead(
          socket,
          "GET /-/resolve" + query + " HTTP/1.1",
          List.of("Host: directory", "Connection: close"));
      return new String(HttpClientMessage.read(socket, false).body(), StandardCharsets.ISO_8859_1);
    } catch (IOException e) {
      record.line("no answer of the directory: %s", e);
      return "";
    }
  }

  static List<String> headers(String attemptId, String deadline) {
    return List.of(
        "Host: " + HOST,
        "Attempt-Id: " + attemptId,
        "Deadline-Ms: " + deadline,
        "Authorization: Bearer " + KEY,
        "Content-Length: 0");
  }
}
