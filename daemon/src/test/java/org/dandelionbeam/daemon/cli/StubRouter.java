package org.dandelionbeam.daemon.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/** HTTP server that sends the same response to every call and records the last call. */
final class StubRouter implements AutoCloseable {
  private final HttpServer server;
  private final AtomicReference<Call> lastCall = new AtomicReference<>();

  private StubRouter(HttpServer server) {
    this.server = server;
  }

  static StubRouter respondingWith(int status, String body) {
    try {
      InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
      StubRouter router = new StubRouter(HttpServer.create(any, 0));
      router.server.createContext("/", exchange -> router.answer(exchange, status, body));
      router.server.start();
      return router;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  String uri() {
    return "http://127.0.0.1:" + server.getAddress().getPort();
  }

  Optional<Call> lastCall() {
    return Optional.ofNullable(lastCall.get());
  }

  @Override
  public void close() {
    server.stop(0);
  }

  private void answer(HttpExchange exchange, int status, String body) throws IOException {
    try (exchange) {
      String sent = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      String key = exchange.getRequestHeaders().getFirst("Authorization");
      String call = exchange.getRequestMethod() + " " + exchange.getRequestURI();
      lastCall.set(new Call(call, Optional.ofNullable(key), sent));
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
    }
  }

  /** A call that the server received. */
  record Call(String line, Optional<String> authorization, String body) {}
}
