package org.dandelionbeam.review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** A sound key-value store of the platform: items, revisions, leases and watches. Thread-safe. */
final class Store implements AutoCloseable {
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;
  private static final int BACKLOG = 128;
  private static final Pattern NUMBER = Pattern.compile("\"ttlMs\"\\s*:\\s*(\\d+)");
  private static final Pattern WRITE =
      Pattern.compile("\\{\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"lease\":(\\d+)\\}");

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> history = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final HttpServer server;
  private final String address;
  private long revision = 1;
  private long lastLease = 100;
  private boolean down;

  private record Item(String value, long revision, long created, long lease) {}

  private record Event(long revision, String text, String key) {}

  private record Lease(long ttlMs, long endNanos) {}

  private record Response(int status, String body) {}

  Store(String host) throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(host), 0), BACKLOG);
    server.createContext("/", this::handle);
    server.setExecutor(threads);
    server.start();
    address = host + ":" + server.getAddress().getPort();
  }

  String address() {
    return address;
  }

  /** Goes down, so that it does nothing and answers 503, or comes back as it was. */
  synchronized void down(boolean isDown) {
    down = isDown;
    notifyAll();
  }

  synchronized boolean isDown() {
    return down;
  }

  /** Writes an item; what it returns is the time of the acknowledgement. */
  synchronized long put(String key, String value, long lease) {
    endLeases();
    String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    write(key, encoded, lease);
    return System.nanoTime();
  }

  private void write(String key, String encoded, long lease) {
    revision++;
    Item old = items.get(key);
    Item item = new Item(encoded, revision, old == null ? revision : old.created, lease);
    items.put(key, item);
    history.add(new Event(revision, text(key, item), key));
    notifyAll();
  }

  /** Removes an item; what it returns is the time of the acknowledgement. */
  synchronized long remove(String key) {
    if (items.remove(key) != null) {
      revision++;
      String text = "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}";
      history.add(new Event(revision, text, key));
      notifyAll();
    }
    return System.nanoTime();
  }

  private static String text(String key, Item item) {
    return "{\"key\":\""
        + key
        + "\",\"value\":\""
        + item.value
        + "\",\"revision\":"
        + item.revision
        + ",\"created\":"
        + item.created
        + ",\"lease\":"
        + item.lease
        + "}";
  }

  private void endLeases() {
    long now = System.nanoTime();
    List<Long> ended =
        leases.entrySet().stream()
            .filter(entry -> now - entry.getValue().endNanos > 0)
            .map(Map.Entry::getKey)
            .toList();
    ended.forEach(this::endLease);
  }

  private void endLease(long id) {
    leases.remove(id);
    items.entrySet().stream()
        .filter(entry -> entry.getValue().lease == id)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(this::remove);
  }

  private void handle(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    Response response;
    try {
      response = respond(exchange.getRequestURI().getPath(), query(exchange), body);
    } catch (InterruptedException e) {
      exchange.close();
      return;
    }
    byte[] bytes = response.body.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.getResponseHeaders().set("Store-Era", "1");
    exchange.sendResponseHeaders(response.status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    for (String part : raw == null ? new String[0] : raw.split("&")) {
      int equals = part.indexOf('=');
      query.put(
          part.substring(0, equals),
          URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private synchronized Response respond(String path, Map<String, String> query, String body)
      throws InterruptedException {
    if (down) {
      return new Response(UNAVAILABLE, "{}");
    }
    endLeases();
    if (path.equals("/-/kv-range")) {
      return range(query.get("prefix"));
    } else if (path.equals("/-/kv-key")) {
      Item item = items.get(query.get("key"));
      return item == null
          ? new Response(NOT_FOUND, "{}")
          : new Response(OK, text(query.get("key"), item));
    } else if (path.equals("/-/kv-watch")) {
      return watch(
          query.get("prefix"),
          Long.parseLong(query.get("after")),
          Long.parseLong(query.get("waitMs")));
    } else if (path.equals("/-/kv-lease")) {
      Matcher ttl = NUMBER.matcher(body);
      lastLease++;
      return renew(lastLease, ttl.find() ? Long.parseLong(ttl.group(1)) : 1_000);
    } else if (path.startsWith("/-/kv-keep/")) {
      long id = Long.parseLong(path.substring("/-/kv-keep/".length()));
      Lease lease = leases.get(id);
      return lease == null ? new Response(NOT_FOUND, "{}") : renew(id, lease.ttlMs);
    } else if (path.startsWith("/-/kv-lease-end/")) {
      endLease(Long.parseLong(path.substring("/-/kv-lease-end/".length())));
      return new Response(OK, "{}");
    } else if (path.equals("/-/kv-txn")) {
      return transaction(body);
    }
    return new Response(NOT_FOUND, "{}");
  }

  private Response renew(long id, long ttlMs) {
    leases.put(id, new Lease(ttlMs, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ttlMs)));
    return new Response(OK, "{\"lease\":" + id + ",\"ttlMs\":" + ttlMs + "}");
  }

  private Response range(String prefix) {
    String found =
        items.tailMap(prefix).entrySet().stream()
            .takeWhile(entry -> entry.getKey().startsWith(prefix))
            .map(entry -> text(entry.getKey(), entry.getValue()))
            .collect(Collectors.joining(","));
    return new Response(
        OK, "{\"items\":[" + found + "],\"hasMore\":false,\"asOf\":" + revision + "}");
  }

  private Response watch(String prefix, long after, long waitMs) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
    while (true) {
      if (down) {
        return new Response(UNAVAILABLE, "{}");
      }
      String found =
          history.stream()
              .filter(event -> event.revision > after && event.key.startsWith(prefix))
              .map(Event::text)
              .collect(Collectors.joining(","));
      long leftMs = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
      if (!found.isEmpty() || leftMs <= 0) {
        return new Response(OK, "{\"events\":[" + found + "],\"asOf\":" + revision + "}");
      }
      wait(leftMs);
    }
  }

  /** Applies a transaction; the routers write without conditions. */
  private Response transaction(String body) {
    if (!body.contains("\"expectedRev\":[]") || !body.contains("\"remove\":[]")) {
      throw new IllegalArgumentException("transaction with a condition or a removal: " + body);
    }
    Matcher write = WRITE.matcher(body);
    while (write.find()) {
      long lease = Long.parseLong(write.group(3));
      if (lease != 0 && !leases.containsKey(lease)) {
        return new Response(NOT_FOUND, "{}");
      }
      write(write.group(1), write.group(2), lease);
    }
    return new Response(OK, "{\"revision\":" + revision + "}");
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
