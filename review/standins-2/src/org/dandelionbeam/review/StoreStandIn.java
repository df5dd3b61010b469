package org.dandelionbeam.review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's key-value store, as PROTOCOL.md and the news describe it. Thread-safe. */
final class StoreStandIn implements AutoCloseable {
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int GONE = 410;
  private static final int CONDITION_FAILED = 412;
  private static final int UNAVAILABLE = 503;
  private static final long MAX_WAIT_MS = 30_000;
  private static final long LEASE_CHECK_MS = 100;
  private static final long NANOS_PER_MS = 1_000_000;
  private static final String LEASE_PATH = "/-/kv-lease";
  private static final String KEEP_PREFIX = "/-/kv-keep/";
  private static final String END_PREFIX = "/-/kv-lease-end/";

  private final ObjectMapper json = new ObjectMapper();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<HttpServer> servers = new ArrayList<>();
  private final Set<String> turnedAway = ConcurrentHashMap.newKeySet();
  private TreeMap<String, Item> items = new TreeMap<>();
  private List<Event> history = new ArrayList<>();
  private Map<Long, Lease> leases = new HashMap<>();
  private long oldestRevision = 1;
  private long revision = 1;
  private long lastLease = 77_000;
  private long era = 1;
  private boolean away;

  private record Item(String value, long revision, long created, long lease) {}

  private record Event(String key, Item item, long revision) {}

  private record Lease(long ttlMs, long endNanos) {}

  private record Response(int status, JsonNode body) {}

  /** What the store held at some time. */
  record Copy(
      TreeMap<String, Item> items, Map<Long, Lease> leases, long revision, long lastLease) {}

  /** Starts the store at several addresses, one for each machine. */
  StoreStandIn(List<String> hosts, int port) throws IOException {
    for (String host : hosts) {
      HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 0);
      server.setExecutor(threads);
      server.createContext("/", exchange -> handle(host, exchange));
      server.start();
      servers.add(server);
    }
    threads.execute(this::endLeases);
  }

  /** Turns away the machine that has one of the addresses. */
  synchronized void turnAway(String host) {
    turnedAway.add(host);
    notifyAll();
  }

  /** Serves the machine again. */
  void readmit(String host) {
    turnedAway.remove(host);
  }

  /** Writes an item, as operators and engines do. */
  synchronized void put(String key, String value) {
    String text = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    revision++;
    write(key, text, 0);
  }

  /** Removes an item, as operators and engines do. */
  synchronized void remove(String key) {
    revision++;
    delete(key);
  }

  /** Returns the keys under a prefix. */
  synchronized List<String> keys(String prefix) {
    return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
  }

  /** Takes a copy, from which the store may come back. */
  synchronized Copy copy() {
    return new Copy(new TreeMap<>(items), new HashMap<>(leases), revision, lastLease);
  }

  /** Turns all calls away, with nothing done. */
  synchronized void leave() {
    away = true;
    notifyAll();
  }

  /** Serves calls again. */
  synchronized void comeBack() {
    away = false;
  }

  /** Comes back from a copy: what was written since is gone, and revisions go back. */
  synchronized void restore(Copy copy) {
    items = new TreeMap<>(copy.items());
    leases = new HashMap<>(copy.leases());
    revision = copy.revision();
    lastLease = copy.lastLease();
    history = new ArrayList<>();
    oldestRevision = revision;
    era++;
    away = false;
    notifyAll();
  }

  private void write(String key, String value, long lease) {
    Item before = items.get(key);
    Item item = new Item(value, revision, before == null ? revision : before.created(), lease);
    items.put(key, item);
    history.add(new Event(key, item, revision));
    notifyAll();
  }

  private void delete(String key) {
    if (items.remove(key) != null) {
      history.add(new Event(key, null, revision));
      notifyAll();
    }
  }

  private void endLeases() {
    try {
      while (true) {
        synchronized (this) {
          long now = System.nanoTime();
          List.copyOf(leases.keySet()).stream()
              .filter(id -> now - leases.get(id).endNanos() > 0)
              .forEach(this::endLease);
          wait(LEASE_CHECK_MS);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void endLease(long id) {
    leases.remove(id);
    revision++;
    List.copyOf(items.keySet()).stream()
        .filter(key -> items.get(key).lease() == id)
        .forEach(this::delete);
  }

  private void handle(String host, HttpExchange exchange) throws IOException {
    byte[] request = exchange.getRequestBody().readAllBytes();
    Response response;
    try {
      response = respond(host, exchange, request);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      response = empty(UNAVAILABLE);
    }
    byte[] body = json.writeValueAsBytes(response.body());
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.getResponseHeaders().set("Store-Era", Long.toString(era()));
    exchange.sendResponseHeaders(response.status(), body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  private synchronized long era() {
    return era;
  }

  private synchronized Response respond(String host, HttpExchange exchange, byte[] body)
      throws IOException, InterruptedException {
    if (isAway(host)) {
      return empty(UNAVAILABLE);
    }
    String path = exchange.getRequestURI().getPath();
    Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
    if (path.equals("/-/kv-range")) {
      return range(query.get("prefix"));
    } else if (path.equals("/-/kv-watch")) {
      return watch(host, query);
    } else if (path.equals("/-/kv-txn")) {
      return transaction(json.readTree(body));
    } else if (path.equals(LEASE_PATH)) {
      lastLease++;
      return keep(lastLease, json.readTree(body).path("ttlMs").asLong());
    } else if (path.startsWith(KEEP_PREFIX)) {
      long id = Long.parseLong(path.substring(KEEP_PREFIX.length()));
      return leases.containsKey(id) ? keep(id, leases.get(id).ttlMs()) : empty(NOT_FOUND);
    } else if (path.startsWith(END_PREFIX)) {
      endLease(Long.parseLong(path.substring(END_PREFIX.length())));
      return empty(OK);
    }
    return empty(NOT_FOUND);
  }

  private boolean isAway(String host) {
    return away || turnedAway.contains(host);
  }

  private static Map<String, String> query(String text) {
    Map<String, String> query = new HashMap<>();
    for (String field : text == null ? new String[0] : text.split("&")) {
      String[] parts = field.split("=", 2);
      query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
    }
    return query;
  }

  private Response empty(int status) {
    return new Response(status, json.createObjectNode());
  }

  private Response keep(long id, long ttlMs) {
    leases.put(id, new Lease(ttlMs, System.nanoTime() + ttlMs * NANOS_PER_MS));
    return new Response(OK, json.createObjectNode().put("lease", id).put("ttlMs", ttlMs));
  }

  private Response range(String prefix) {
    ObjectNode body = json.createObjectNode().put("hasMore", false).put("asOf", revision);
    ArrayNode listed = body.putArray("items");
    items.forEach(
        (key, item) -> {
          if (key.startsWith(prefix)) {
            listed.add(node(key, item));
          }
        });
    return new Response(OK, body);
  }

  private ObjectNode node(String key, Item item) {
    return json.createObjectNode()
        .put("key", key)
        .put("value", item.value())
        .put("revision", item.revision())
        .put("created", item.created())
        .put("lease", item.lease());
  }

  private Response watch(String host, Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long waitMs = Math.min(MAX_WAIT_MS, Long.parseLong(query.get("waitMs")));
    long endNanos = System.nanoTime() + waitMs * NANOS_PER_MS;
    long startEra = era;
    while (true) {
      if (isAway(host)) {
        return empty(UNAVAILABLE);
      }
      if (era != startEra || after > revision || after < oldestRevision) {
        return empty(GONE);
      }
      ArrayNode events = events(query.get("prefix"), after);
      long leftMs = (endNanos - System.nanoTime()) / NANOS_PER_MS;
      if (!events.isEmpty() || leftMs <= 0) {
        ObjectNode body = json.createObjectNode().put("asOf", revision);
        body.set("events", events);
        return new Response(OK, body);
      }
      wait(leftMs);
    }
  }

  private ArrayNode events(String prefix, long after) {
    ArrayNode events = json.createArrayNode();
    for (Event event : history) {
      if (event.revision() > after && event.key().startsWith(prefix)) {
        events.add(
            event.item() == null
                ? json.createObjectNode()
                    .put("key", event.key())
                    .put("revision", event.revision())
                    .put("deleted", true)
                : node(event.key(), event.item()));
      }
    }
    return events;
  }

  private Response transaction(JsonNode request) {
    for (JsonNode row : request.path("expectedRev")) {
      Item item = items.get(row.path("key").asText());
      if ((item == null ? 0 : item.revision()) != row.path("revision").asLong()) {
        return empty(CONDITION_FAILED);
      }
    }
    for (JsonNode entry : request.path("writes")) {
      long lease = entry.path("lease").asLong();
      if (lease != 0 && !leases.containsKey(lease)) {
        return empty(NOT_FOUND);
      }
    }
    revision++;
    request
        .path("writes")
        .forEach(
            entry ->
                write(
                    entry.path("key").asText(),
                    entry.path("value").asText(),
                    entry.path("lease").asLong()));
    request.path("remove").forEach(key -> delete(key.asText()));
    return new Response(OK, json.createObjectNode().put("revision", revision));
  }

  @Override
  public void close() {
    servers.forEach(server -> server.stop(0));
    threads.shutdownNow();
  }
}
