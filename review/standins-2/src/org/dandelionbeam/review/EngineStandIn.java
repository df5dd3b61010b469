package org.dandelionbeam.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An engine that registers itself in the store and serves one request a connection at a time. */
final class EngineStandIn implements AutoCloseable {
  private static final int BACKLOG = 256;
  private static final int SLOTS = 96;

  private final String id;
  private final String service;
  private final String zone;
  private final InetAddress host;
  private final Recorder recorder;
  private final Behaviour behaviour;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile String version;
  private volatile ServerSocket server;
  private volatile long bornMillis;
  private volatile long coldUntilMillis;

  /** How an engine responds to a request. */
  interface Behaviour {
    void respond(EngineStandIn engine, HttpReader.Head request, HttpReader in, OutputStream out)
        throws IOException, InterruptedException;
  }

  EngineStandIn(
      String id,
      String service,
      String zone,
      String version,
      String host,
      Recorder recorder,
      Behaviour behaviour)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.host = InetAddress.getByName(host);
    this.recorder = recorder;
    this.behaviour = behaviour;
    start(version, 0);
  }

  private void start(String newVersion, int port) throws IOException {
    version = newVersion;
    bornMillis = System.currentTimeMillis();
    server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(host, port), BACKLOG);
    ServerSocket listener = server;
    threads.execute(() -> accept(listener));
  }

  /** Ends as in a crash: resets all connections and accepts no more. */
  void crash() throws IOException {
    server.close();
    for (Socket socket : open) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
    recorder.line("engine %s crashed", id);
  }

  /** Starts again at the same address under the same id. */
  void restart(String newVersion) throws IOException {
    start(newVersion, server.getLocalPort());
    recorder.line("engine %s runs again, with version %s", id, newVersion);
  }

  boolean isRunning() {
    return !server.isClosed();
  }

  String id() {
    return id;
  }

  String version() {
    return version;
  }

  Recorder recorder() {
    return recorder;
  }

  /** Writes the entry of this engine. */
  void register(StoreStandIn store) {
    store.put("servers/" + id, entry());
    recorder.line("engine %s version %s registered at %s", id, version, address());
  }

  /** Becomes cold again for some time, and says so in its entry and its health responses. */
  void becomeCold(StoreStandIn store, int coldMs) {
    coldUntilMillis = System.currentTimeMillis() + coldMs;
    store.put("servers/" + id, entry());
    recorder.line("engine %s is cold for %d ms", id, coldMs);
  }

  private long coldRemainingMillis() {
    return Math.max(0, coldUntilMillis - System.currentTimeMillis());
  }

  private String address() {
    return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
  }

  private String entry() {
    return String.format(
        "{\"backend\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"%s\",\"slots\":%d,"
            + "\"state\":\"ready\",\"coldRemainingMs\":%d,\"sequence\":1,\"born\":%d}",
        service, address(), zone, version, SLOTS, coldRemainingMillis(), bornMillis);
  }

  private void accept(ServerSocket listener) {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
        threads.execute(() -> serve(socket));
      }
    } catch (IOException e) {
      recorder.line("engine %s stopped listening", id);
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      HttpReader in = new HttpReader(new BufferedInputStream(socket.getInputStream()));
      while (true) {
        HttpReader.Head request = in.head();
        String path = request.firstLine().split(" ")[1];
        if (path.equals("/health") || path.startsWith("/-/")) {
          write(socket.getOutputStream(), page(path));
        } else {
          behaviour.respond(this, request, in, socket.getOutputStream());
        }
      }
    } catch (IOException e) {
      recorder.line("engine %s connection ended: %s", id, e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      open.remove(socket);
    }
  }

  /** Returns the response to a call that is no request of a caller. */
  private String page(String path) {
    String body =
        switch (path) {
          case "/health" -> "{}";
          case "/-/report" -> report();
          case "/-/kv-list" -> "{\"epoch\":" + bornMillis + ",\"next\":0,\"held\":[]}";
          default -> "";
        };
    return (body.isEmpty() ? "HTTP/1.1 404 Not Found" : "HTTP/1.1 200 OK")
        + "\r\nInstance: "
        + id
        + (path.equals("/health") ? coldHeader() : "")
        + "\r\nContent-Type: application/json\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private String coldHeader() {
    long cold = coldRemainingMillis();
    return cold > 0 ? "\r\nCold-Ms: " + cold : "";
  }

  private String report() {
    return "{\"stage\":\"mixed\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
        + "\"busy\":false,\"sequence\":0,\"queued\":0,\"running\":"
        + open.size()
        + ",\"kvUsed\":0,\"kvTotal\":178306,\"handles\":0,\"born\":"
        + bornMillis
        + "}";
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : open) {
      socket.close();
    }
    threads.shutdownNow();
  }
}
