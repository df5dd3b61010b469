package org.dandelionbeam.upstream.wiring;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.upstream.CacheEvent;
import org.dandelionbeam.upstream.LoadReport;
import org.dandelionbeam.upstream.TestEngines;
import org.dandelionbeam.upstream.TestOwnership;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Polls an HTTP server that plays the engines, with valid and with malformed responses. */
public class UpstreamPollerTest {
  private static final String LOAD =
      "{\"inFlight\":3,\"queued\":1,\"cold\":true,\"bootId\":\"1-1\",\"models\":[\"camp\",\"x\"]}";
  private static final String EVENTS =
      "{\"bootId\":\"1-1\",\"events\":["
          + "{\"sequence\":4,\"type\":\"stored\",\"block\":\"000000ff\"},"
          + "{\"sequence\":9,\"type\":\"removed\",\"block\":\"000000ff\"},"
          + "{\"sequence\":9,\"type\":\"stored\",\"block\":\"1\"},"
          + "{\"sequence\":10,\"type\":\"unknown\",\"block\":\"1\"}]}";

  private final Map<String, String> responses = new ConcurrentHashMap<>();
  private final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
  private final BlockingQueue<Object> received = new LinkedBlockingQueue<>();
  private final TestOwnership ownership = new TestOwnership();
  private MultiThreadIoEventLoopGroup group;
  private SimpleMeterRegistry meters;
  private HttpServer server;
  private UpstreamPoller poller;

  @BeforeMethod
  void start() throws IOException {
    responses.clear();
    calls.clear();
    received.clear();
    ownership.owned.clear();
    meters = new SimpleMeterRegistry();
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.createContext("/", this::respond);
    server.start();
  }

  @AfterMethod
  void stop() {
    poller.close();
    server.stop(0);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void respond(HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath();
    calls.add(exchange.getRequestURI().toString());
    byte[] body = responses.getOrDefault(path, "").getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(body.length == 0 ? 500 : 200, body.length == 0 ? -1 : body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  private void startPoller() {
    int port = server.getAddress().getPort();
    poller =
        UpstreamPoller.builder()
            .loop((EventLoop) group.next())
            .ownership(ownership)
            .configuration(() -> Optional.of(TestEngines.of(true, port, port)))
            .random(new SplittableRandom(1))
            .period(Duration.ofMillis(20))
            .meters(meters)
            .listener(new Recorder())
            .start();
  }

  private final class Recorder implements UpstreamPoller.Listener {
    @Override
    public void loadReported(UpstreamId engine, LoadReport report) {
      received.add(report);
    }

    @Override
    public void modelsReported(UpstreamId engine, Set<ModelId> models) {
      received.add(models);
    }

    @Override
    public void cacheChanged(List<CacheEvent> events) {
      received.add(events);
    }
  }

  @Test
  public void pollerDeliversLoadAndModelsAndEachEventOnceForOwnedEnginesOnly() throws Exception {
    UpstreamId engine = UpstreamId.of(2);
    ownership.owned.add(engine);
    ownership.owned.add(UpstreamId.of(1_000));
    responses.put("/v1/load", LOAD);
    responses.put("/v1/cache-events", EVENTS);
    startPoller();
    LoadReport report = (LoadReport) received.poll(10, TimeUnit.SECONDS);
    assertEquals(report, new LoadReport(3, 1, true, EngineState.hash("1-1")));
    assertEquals(received.poll(10, TimeUnit.SECONDS), Set.of(ModelId.of(2)));
    assertEquals(
        received.poll(10, TimeUnit.SECONDS),
        List.of(
            new CacheEvent(engine, 4, CacheEvent.Change.STORED, 0xff),
            new CacheEvent(engine, 9, CacheEvent.Change.EVICTED, 0xff)));
    assertEquals(received.poll(10, TimeUnit.SECONDS), report, "the next round");
    assertEquals(calls.poll(10, TimeUnit.SECONDS), "/v1/load");
    assertEquals(calls.poll(10, TimeUnit.SECONDS), "/v1/cache-events?after=0");
    assertEquals(calls.poll(10, TimeUnit.SECONDS), "/v1/load");
    assertEquals(calls.poll(10, TimeUnit.SECONDS), "/v1/cache-events?after=9");
  }

  @Test
  public void pollerReadsEventsFromTheStartWhenTheEngineRestarted() throws Exception {
    ownership.owned.add(UpstreamId.of(1));
    responses.put("/v1/cache-events", EVENTS);
    startPoller();
    assertEquals(((List<?>) received.poll(10, TimeUnit.SECONDS)).size(), 2);
    responses.put("/v1/cache-events", EVENTS.replace("1-1", "1-2"));
    assertEquals(((List<?>) received.poll(10, TimeUnit.SECONDS)).size(), 2);
  }

  @DataProvider
  Object[][] malformedBodies() {
    return new Object[][] {
      {"", 1},
      {"no json", 1},
      {"[]", 1},
      {"null", 1},
      {LOAD.replace("3", "-3"), 1},
      {LOAD.replace("3", "1e99"), 1},
      {LOAD.replace("true", "1"), 1},
      {LOAD.replace("\"1-1\"", "{}"), 1},
      {LOAD, 20_000}
    };
  }

  @Test(dataProvider = "malformedBodies")
  public void pollerCountsAMalformedResponseAndReportsNothing(String unit, int times)
      throws Exception {
    String body = unit.repeat(times);
    ownership.owned.add(UpstreamId.of(1));
    responses.put("/v1/load", body);
    responses.put("/v1/cache-events", body);
    startPoller();
    assertEquals(calls.poll(10, TimeUnit.SECONDS), "/v1/load");
    assertEquals(calls.poll(10, TimeUnit.SECONDS), "/v1/cache-events?after=0");
    assertEquals(calls.poll(10, TimeUnit.SECONDS), "/v1/load", "polling continues");
    assertNull(received.poll());
    assertTrue(failures("load") >= 1);
    assertTrue(failures("cache-events") >= 1);
  }

  private double failures(String call) {
    return meters.counter("dandelionbeam.upstream.poll.failures", "call", call).count();
  }
}
