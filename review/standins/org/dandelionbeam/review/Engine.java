package org.dandelionbeam.review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound engine of a plain service: it registers itself, serves requests and may leave. */
final class Engine implements AutoCloseable {
  private static final int HEARTBEAT_MS = 1_200;
  private static final int BACKLOG = 256;
  private static final String HEALTH_PATH = "/health";
  private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final int PARTS_PER_SECOND = 10;
  static final long COLD_START_MS = 3_000;
  private static final String SEAL = "3e1b.07.5a2.600.0.c9f2a4d1";

  private final String id;
  private final String service;
  private final String zone;
  private final int slots;
  private final long workMs;
  private final Store store;
  private final Record record;
  private final InetAddress host;
  private volatile ServerSocket server;
  private final Semaphore freeSlots;
  private volatile long bornMs = System.currentTimeMillis();
  private volatile long coldUntilNanos = System.nanoTime();
  private volatile int endlessBytesPerSecond;
  private volatile double coldCapacityPerS = Double.MAX_VALUE;
  private final AtomicInteger overloads = new AtomicInteger();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private volatile boolean draining;
  private volatile boolean ended;
  private int sequence;

  /** A request that the engine has begun to run. */
  record Arrival(String attemptId, long nanos) {}

  /**
   * Starts an engine and registers it.
   *
   * @param slots requests that it runs at once; more of them wait
   * @param workMs the time that a request takes
   */
  Engine(
      String id,
      String service,
      String zone,
      String host,
      int slots,
      long workMs,
      Store store,
      Record record)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.workMs = workMs;
    this.store = store;
    this.record = record;
    freeSlots = new Semaphore(slots, true);
    this.host = InetAddress.getByName(host);
    server = new ServerSocket(0, BACKLOG, this.host);
    threads.execute(() -> accept(server));
    threads.execute(this::beatUntilEnd);
  }

  String id() {
    return id;
  }

  String zone() {
    return zone;
  }

  /** Returns the requests that it has begun to run. */
  List<Arrival> arrivals() {
    return List.copyOf(arrivals);
  }

  private void beatUntilEnd() {
    try {
      while (!ended) {
        if (!store.isDown()) {
          beat();
        }
        Thread.sleep(HEARTBEAT_MS);
      }
    } catch (InterruptedException e) {
      // The engine ends.
      Thread.currentThread().interrupt();
    }
  }

  /** Writes its entry; returns the time of the acknowledgement. */
  private synchronized long beat() {
    sequence++;
    String entry =
        "{\"backend\":\""
            + service
            + "\",\"address\":\""
            + host.getHostAddress()
            + ":"
            + server.getLocalPort()
            + "\",\"zone\":\""
            + zone
            + "\",\"version\":\"v1\",\"slots\":"
            + slots
            + ",\"state\":\""
            + (draining ? "draining" : "ready")
            + "\",\"coldRemainingMs\":"
            + coldRemainingMs()
            + ",\"sequence\":"
            + sequence
            + ",\"born\":"
            + bornMs
            + "}";
    return store.put("servers/" + id, entry, 0);
  }

  /** Reports that it leaves; returns the time of the store's acknowledgement. */
  long drain() {
    draining = true;
    long acknowledgedNanos = beat();
    record.line("engine %s reports draining, acknowledged", id);
    return acknowledgedNanos;
  }

  /** Ends after a planned shutdown: its entry goes, its connections are closed. */
  void leave() {
    ended = true;
    store.remove("servers/" + id);
    record.line("engine %s has left", id);
    close();
  }

  /** From now on it answers with a failure whose body comes at a steady rate without end. */
  void answerWithoutEnd(int newBytesPerSecond) {
    endlessBytesPerSecond = newBytesPerSecond;
  }

  /** From now on it crashes if it gets more requests than this in a second while it is cold. */
  void crashAbove(double requestsPerSecond) {
    coldCapacityPerS = requestsPerSecond;
  }

  /** Crashes: all its connections are closed, and what it runs is gone. */
  synchronized void crash() throws IOException {
    record.line("engine %s crashes", id);
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** Starts again under its id, at its address, cold, and knowing nothing of before. */
  synchronized void restart() throws IOException {
    ServerSocket next = new ServerSocket();
    next.setReuseAddress(true);
    next.bind(new InetSocketAddress(host, server.getLocalPort()), BACKLOG);
    bornMs = System.currentTimeMillis();
    coldUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(COLD_START_MS);
    sequence = 0;
    server = next;
    threads.execute(() -> accept(next));
    record.line("engine %s starts again, cold for %d ms", id, COLD_START_MS);
    if (!store.isDown()) {
      beat();
    }
  }

  private void accept(ServerSocket listener) {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        threads.execute(() -> serve(socket));
      } catch (IOException e) {
        if (!listener.isClosed()) {
          record.line("engine %s can't accept: %s", id, e);
        }
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      while (!ended) {
        HttpClientMessage request = HttpClientMessage.read(socket, false);
        respond(socket, request);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // The router closed the connection, or the engine ends.
    } finally {
      sockets.remove(socket);
    }
  }

  private void respond(Socket socket, HttpClientMessage request)
      throws IOException, InterruptedException {
    String attemptId = request.header("attempt-id");
    String expected = request.header("expect-instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      write(socket, "421 Misdirected Request", attemptId, List.of("Not-Run: 1"), new byte[0], true);
      return;
    }
    if (request.target().equals(HEALTH_PATH)) {
      writeHealth(socket);
      return;
    }
    freeSlots.acquire();
    try {
      if (endlessBytesPerSecond > 0) {
        writeWithoutEnd(socket, attemptId);
        return;
      }
      arrivals.add(new Arrival(attemptId, System.nanoTime()));
      crashIfOverloaded();
      record.line("engine %s runs %s%s", id, attemptId, draining ? " (draining)" : "");
      Thread.sleep(workMs);
    } finally {
      freeSlots.release();
    }
    String event = "id: 1\ndata: result of " + attemptId + "\n\n";
    byte[] body = event.getBytes(StandardCharsets.US_ASCII);
    boolean head = request.method().equals("HEAD");
    write(socket, "200 OK", attemptId, List.of("Engine-Seal: " + SEAL), body, !head);
    record.line("engine %s has answered %s", id, attemptId);
  }

  /** Crashes, for a second, if it is cold and gets far more than it tolerates. */
  private void crashIfOverloaded() throws IOException, InterruptedException {
    long now = System.nanoTime();
    long lastSecond =
        arrivals.stream().filter(arrival -> now - arrival.nanos() < NANOS_PER_SECOND).count();
    synchronized (this) {
      boolean cold = now - coldUntilNanos < 0 && !server.isClosed();
      if (!cold || lastSecond <= coldCapacityPerS) {
        return;
      }
      overloads.incrementAndGet();
      record.line("engine %s is cold and got %d requests in a second", id, lastSecond);
      crash();
    }
    TimeUnit.SECONDS.sleep(1);
    restart();
  }

  /** Returns how often it has crashed of too many requests while cold. */
  int overloads() {
    return overloads.get();
  }

  /** Answers a health check, which says how much longer the engine is cold. */
  private void writeHealth(Socket socket) throws IOException {
    List<String> headers = new ArrayList<>(List.of("Instance: " + id, "Content-Length: 0"));
    if (coldRemainingMs() > 0) {
      headers.add("Cold-Ms: " + coldRemainingMs());
    }
    String status = draining ? "503 Service Unavailable" : "200 OK";
    HttpClientMessage.writeHead(socket, "HTTP/1.1 " + status, headers);
  }

  private long coldRemainingMs() {
    return Math.max(0, TimeUnit.NANOSECONDS.toMillis(coldUntilNanos - System.nanoTime()));
  }

  /** Writes an answer until the router closes the connection or the engine ends. */
  private void writeWithoutEnd(Socket socket, String attemptId)
      throws IOException, InterruptedException {
    record.line("engine %s answers %s without end", id, attemptId);
    List<String> headers =
        List.of("Engine-Seal: " + SEAL, "Attempt-Id: " + attemptId, "Instance: " + id);
    HttpClientMessage.writeHead(socket, "HTTP/1.1 500 Internal Server Error", headers);
    byte[] part = new byte[endlessBytesPerSecond / PARTS_PER_SECOND];
    while (!ended) {
      socket.getOutputStream().write(part);
      Thread.sleep(TimeUnit.SECONDS.toMillis(1) / PARTS_PER_SECOND);
    }
  }

  private void write(
      Socket socket,
      String status,
      String attemptId,
      List<String> added,
      byte[] body,
      boolean withBody)
      throws IOException {
    List<String> headers = new ArrayList<>(added);
    headers.add("Attempt-Id: " + attemptId);
    headers.add("Instance: " + id);
    headers.add("Content-Length: " + body.length);
    if (draining) {
      headers.add("Server-Leaving: 1");
      headers.add("Connection: close");
    }
    HttpClientMessage.write(socket, "HTTP/1.1 " + status, headers, withBody ? body : new byte[0]);
    if (draining) {
      throw new SocketException("closed by the engine, which leaves");
    }
  }

  @Override
  public void close() {
    ended = true;
    try {
      server.close();
      for (Socket socket : sockets) {
        socket.close();
      }
    } catch (IOException e) {
      record.line("engine %s can't be closed: %s", id, e);
    }
    threads.shutdownNow();
  }
}
