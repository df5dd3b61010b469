package org.dandelionbeam.standins;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.LongAdder;
import org.dandelionbeam.base.MonotonicClock;
import org.dandelionbeam.standins.KeyValueState.LeaseState;
import org.dandelionbeam.standins.KeyValueState.Watch;
import org.dandelionbeam.store.PlatformStore.Versioned;

/**
 * Stand-in for the platform: its key-value store and its list of VMs, served over HTTP on loopback,
 * with rate limits on all calls and faults that are injected by method call or over HTTP.
 *
 * <p>Paths: {@code GET /v1/keys/KEY[?after=REVISION&patienceMillis=N]}, {@code PUT
 * /v1/keys/KEY?expected=REVISION}, {@code POST /v1/leases/NAME?holder=H&millis=N}, {@code GET
 * /v1/vms}, {@code POST /v1/faults/FAULT?share=S}, {@code DELETE /v1/faults}.
 */
public final class PlatformStandIn implements AutoCloseable {
  private static final int MAX_VALUE_BYTES = 1 << 20;
  private static final int MAX_WATCH_TIMEOUT_MILLIS = 60_000;
  private static final byte[] EMPTY_BODY = new byte[0];
  private static final String KEYS_PATH = "/v1/keys/";
  private static final String LEASES_PATH = "/v1/leases/";
  private static final String VMS_PATH = "/v1/vms";
  private static final String FAULTS_PATH = "/v1/faults";

  private final MonotonicClock clock;
  private final Random random;
  private final Duration slowDelay;
  private final RateLimit reads;
  private final RateLimit writes;
  private final VmList vms;
  private final KeyValueState state = new KeyValueState();
  private final Map<PlatformFault, Double> faults = new EnumMap<>(PlatformFault.class);
  private final LongAdder calls = new LongAdder();
  private final LongAdder rateLimitedCalls = new LongAdder();
  private final ObjectMapper json = new ObjectMapper();
  private final HttpStandIn server;

  private PlatformStandIn(Builder builder) {
    clock = builder.clock;
    random = new Random(builder.seed);
    slowDelay = builder.slowDelay;
    reads = new RateLimit(builder.readsPerSecond, clock.nanos());
    writes = new RateLimit(builder.writesPerSecond, clock.nanos());
    vms = new VmList(builder.vmListLag.toNanos());
    server = HttpStandIn.start(builder.port, this::handle);
  }

  /**
   * Creates a builder of a stand-in.
   *
   * @return a builder with the platform's default rate limits and no faults
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Starts a stand-in on a free port.
   *
   * @return a listening stand-in with the default settings
   */
  public static PlatformStandIn start() {
    return builder().start();
  }

  /**
   * Returns the URI that it listens on.
   *
   * @return the base URI, without a trailing slash
   */
  public String baseUri() {
    return "http://127.0.0.1:" + server.port();
  }

  /**
   * Activates a fault beside the active ones.
   *
   * @param fault the fault
   * @param share fraction of calls that it affects, from 0 to 1
   */
  public synchronized void inject(PlatformFault fault, double share) {
    faults.put(requireNonNull(fault, "fault"), share);
  }

  /** Deactivates all faults. */
  public synchronized void clearFaults() {
    faults.clear();
  }

  /**
   * Changes the state of a VM, which the list of VMs shows after its lag.
   *
   * @param vm the VM with its new state
   */
  public synchronized void changeVm(Vm vm) {
    vms.change(requireNonNull(vm, "vm"), clock.nanos());
  }

  /**
   * Returns how many calls were received, waiting watches included.
   *
   * @return the count since the start
   */
  public long calls() {
    return calls.sum();
  }

  /**
   * Returns how many calls the rate limits refused.
   *
   * @return the count since the start
   */
  public long rateLimitedCalls() {
    return rateLimitedCalls.sum();
  }

  /**
   * Returns how many watches are waiting.
   *
   * @return the current number
   */
  public synchronized int waitingWatches() {
    return state.waitingWatches();
  }

  /** Stops the server and closes every connection. */
  @Override
  public void close() {
    server.close();
  }

  private synchronized void handle(StandInRequest request, StandInExchange exchange) {
    try {
      route(request, exchange);
    } catch (IllegalArgumentException e) {
      exchange.respond(400, Map.of(), EMPTY_BODY);
    }
  }

  private void route(StandInRequest request, StandInExchange exchange) {
    if (request.path().startsWith(FAULTS_PATH)) {
      handleFaultRequest(request, exchange);
      return;
    }
    calls.increment();
    boolean isRead = request.method().equals("GET");
    if (!(isRead ? reads : writes).tryAcquire(clock.nanos())) {
      rateLimitedCalls.increment();
      exchange.respond(429, Map.of("Retry-After", "1"), EMPTY_BODY);
    } else if (drawFault(PlatformFault.REFUSE)) {
      exchange.respond(503, Map.of(), EMPTY_BODY);
    } else if (!drawFault(PlatformFault.SILENT)) {
      serve(request, responseFor(exchange));
    }
  }

  private Response responseFor(StandInExchange exchange) {
    if (drawFault(PlatformFault.LOSE_ANSWER)) {
      return new Response(exchange, (status, headers, body) -> exchange.abort());
    }
    if (drawFault(PlatformFault.SLOW)) {
      return new Response(
          exchange,
          (status, headers, body) ->
              exchange.after(slowDelay, () -> exchange.respond(status, headers, body)));
    }
    return new Response(exchange, exchange::respond);
  }

  private void serve(StandInRequest request, Response response) {
    String path = request.path();
    if (path.startsWith(KEYS_PATH)) {
      serveKey(path.substring(KEYS_PATH.length()), request, response);
    } else if (path.startsWith(LEASES_PATH) && request.method().equals("POST")) {
      serveLease(path.substring(LEASES_PATH.length()), request, response);
    } else if (path.equals(VMS_PATH)) {
      response.send(200, Map.of("Content-Type", "application/json"), listVms());
    } else {
      response.send(404, Map.of(), EMPTY_BODY);
    }
  }

  private void serveKey(String key, StandInRequest request, Response response) {
    switch (request.method()) {
      case "GET" -> serveRead(key, request, response);
      case "PUT" -> serveCompareAndSwap(key, request, response);
      default -> response.send(405, Map.of(), EMPTY_BODY);
    }
  }

  private void serveRead(String key, StandInRequest request, Response response) {
    Versioned current =
        drawFault(PlatformFault.LAGGING_READ) ? state.readPrevious(key) : state.read(key);
    long after = request.longParameter("after", -1);
    long timeoutMillis =
        Math.min(MAX_WATCH_TIMEOUT_MILLIS, request.longParameter("patienceMillis", 0));
    if (after < 0 || current.revision() > after || timeoutMillis <= 0) {
      send(response, current);
      return;
    }
    Watch watch = state.watch(key, next -> send(response, next));
    Duration timeout = Duration.ofMillis(timeoutMillis);
    response.exchange().after(timeout, () -> endWatchOnTimeout(watch, after, response));
    response.exchange().onClosed(() -> cancelWatch(watch));
  }

  private synchronized void endWatchOnTimeout(Watch watch, long after, Response response) {
    if (state.cancel(watch)) {
      send(response, new Versioned(after, EMPTY_BODY));
    }
  }

  private synchronized void cancelWatch(Watch watch) {
    state.cancel(watch);
  }

  private void serveCompareAndSwap(String key, StandInRequest request, Response response) {
    if (request.body().length > MAX_VALUE_BYTES) {
      response.send(413, Map.of(), EMPTY_BODY);
      return;
    }
    long expected = request.longParameter("expected", 0);
    boolean swapped = state.compareAndSwap(key, expected, request.body());
    Versioned current = state.read(key);
    Map<String, String> headers =
        Map.of("X-Revision", Long.toString(current.revision()), "X-Swapped", "" + swapped);
    response.send(200, headers, swapped ? EMPTY_BODY : current.value());
  }

  private void serveLease(String name, StandInRequest request, Response response) {
    String holder = request.parameter("holder").orElseThrow(IllegalArgumentException::new);
    Duration duration = Duration.ofMillis(request.longParameter("millis", 0));
    long now = clock.nanos();
    LeaseState lease = state.lease(name, holder, duration.toNanos(), now);
    long remainingMillis = Duration.ofNanos(lease.endsAtNanos() - now).toMillis();
    Map<String, String> headers =
        Map.of(
            "X-Holder", lease.holder(),
            "X-Fencing", Long.toString(lease.fencing()),
            "X-Length-Millis", Long.toString(remainingMillis));
    response.send(200, headers, EMPTY_BODY);
  }

  private void handleFaultRequest(StandInRequest request, StandInExchange exchange) {
    if (request.method().equals("DELETE")) {
      clearFaults();
    } else {
      String name = request.path().substring(FAULTS_PATH.length() + 1);
      double share = request.parameter("share").map(Double::parseDouble).orElse(1.0);
      inject(PlatformFault.valueOf(name), share);
    }
    exchange.respond(200, Map.of(), EMPTY_BODY);
  }

  private boolean drawFault(PlatformFault fault) {
    double share = faults.getOrDefault(fault, 0.0);
    return share > 0 && random.nextDouble() < share;
  }

  private byte[] listVms() {
    try {
      return json.writeValueAsBytes(vms.visibleAt(clock.nanos()));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void send(Response response, Versioned value) {
    Map<String, String> headers = Map.of("X-Revision", Long.toString(value.revision()));
    response.send(200, headers, value.value());
  }

  /** Sends a response or what a fault turns it into. */
  private interface ResponseSender {
    void send(int status, Map<String, String> headers, byte[] body);
  }

  /** Response to one call, with the effect of an injected fault. */
  private record Response(StandInExchange exchange, ResponseSender sender) {
    void send(int status, Map<String, String> headers, byte[] body) {
      sender.send(status, headers, body);
    }
  }

  /** Settings of a {@link PlatformStandIn}. */
  public static final class Builder {
    private MonotonicClock clock = MonotonicClock.system();
    private long seed = 1;
    private int port;
    private double readsPerSecond = 2_000;
    private double writesPerSecond = 400;
    private Duration slowDelay = Duration.ofSeconds(1);
    private Duration vmListLag = Duration.ofSeconds(5);

    private Builder() {}

    /**
     * Sets the clock.
     *
     * @param value clock of leases, rate limits and the lag of the VM list
     * @return this builder
     */
    public Builder clock(MonotonicClock value) {
      clock = requireNonNull(value, "value");
      return this;
    }

    /**
     * Sets the seed of the random choice of calls that a fault affects.
     *
     * @param value the seed
     * @return this builder
     */
    public Builder seed(long value) {
      seed = value;
      return this;
    }

    /**
     * Sets the port.
     *
     * @param value TCP port on loopback, 0 for any free one
     * @return this builder
     */
    public Builder port(int value) {
      port = value;
      return this;
    }

    /**
     * Sets the rate limits of the key-value store.
     *
     * @param reads GET requests per second (reads, watches, lists of VMs)
     * @param writes other requests per second (writes, leases)
     * @return this builder
     */
    public Builder rates(double reads, double writes) {
      readsPerSecond = reads;
      writesPerSecond = writes;
      return this;
    }

    /**
     * Sets the delay of a slow response.
     *
     * @param value delay under {@link PlatformFault#SLOW}
     * @return this builder
     */
    public Builder slowDelay(Duration value) {
      slowDelay = requireNonNull(value, "value");
      return this;
    }

    /**
     * Sets the lag of the VM list.
     *
     * @param value time from a change of a VM until the list shows it
     * @return this builder
     */
    public Builder vmListLag(Duration value) {
      vmListLag = requireNonNull(value, "value");
      return this;
    }

    /**
     * Starts the stand-in.
     *
     * @return a listening stand-in
     */
    public PlatformStandIn start() {
      return new PlatformStandIn(this);
    }
  }
}
