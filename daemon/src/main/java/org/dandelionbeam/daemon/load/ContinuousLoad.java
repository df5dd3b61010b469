package org.dandelionbeam.daemon.load;

import static java.util.Objects.requireNonNull;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Open-loop load that runs until it is stopped and records a sample of each attempt. Like a caller
 * with an address list, it retries a request at the next address if it can't connect or if a router
 * responds that it is shutting down or not ready.
 */
public final class ContinuousLoad {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final Set<String> NEXT_ADDRESS_CODES = Set.of("CONNECT", "STOPPING", "NOT_READY");
  private static final long EXPIRY_CHECK_MILLIS = 100;
  private static final int MAX_CONNECTIONS = 512;
  private static final double NANOS_PER_SECOND = 1e9;

  private final Mix mix;
  private final double rate;
  private final String requestIdPrefix;
  private final SplittableRandom random;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final List<LoadClient> clients;
  private final List<Sample> samples = new ArrayList<>();
  private final Map<InFlightRequest, Attempt> open = new IdentityHashMap<>();
  private final AtomicLong startedRequests = new AtomicLong();
  private final CompletableFuture<List<Sample>> finished = new CompletableFuture<>();
  private volatile boolean stopped;
  private long startNanos;
  private double nextNanos;

  private ContinuousLoad(Mix mix, List<InetSocketAddress> addresses, double rate, long seed) {
    this.mix = requireNonNull(mix, "mix");
    this.rate = rate;
    requestIdPrefix = "drive-" + seed + "-" + Long.toHexString(System.nanoTime()) + "-";
    random = new SplittableRandom(seed);
    clients =
        addresses.stream().map(to -> new LoadClient(loop, to, MAX_CONNECTIONS, TIMEOUT)).toList();
  }

  /**
   * Starts a load.
   *
   * @param mix teams and kinds of request
   * @param addresses addresses of routers, used in turn
   * @param rate mean number of requests per second
   * @param seed seed of all random numbers
   * @return the running load
   */
  public static ContinuousLoad start(
      Mix mix, List<InetSocketAddress> addresses, double rate, long seed) {
    ContinuousLoad load = new ContinuousLoad(mix, addresses, rate, seed);
    load.loop.execute(load::startTimers);
    return load;
  }

  /**
   * Returns the number of requests started so far.
   *
   * @return the count, without retries
   */
  public long started() {
    return startedRequests.get();
  }

  /**
   * Stops starting requests and waits for those in flight.
   *
   * @return a sample of each attempt, in order of their ends
   */
  public List<Sample> stop() {
    stopped = true;
    List<Sample> all = finished.join();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    return all;
  }

  private void startTimers() {
    startNanos = System.nanoTime();
    tick();
    expire();
  }

  private void tick() {
    while (!stopped && nextNanos <= System.nanoTime() - startNanos) {
      startNext();
    }
    if (!stopped) {
      long wait = (long) Math.max(0, nextNanos - (System.nanoTime() - startNanos));
      loop.schedule(this::tick, wait, TimeUnit.NANOSECONDS);
    }
  }

  private void startNext() {
    long number = startedRequests.getAndIncrement();
    RequestSpec spec = mix.draw(requestIdPrefix + number, random);
    send(spec, startNanos + (long) nextNanos, (int) (number % clients.size()), 0);
    nextNanos -= Math.log(1 - random.nextDouble()) * NANOS_PER_SECOND / rate;
  }

  private void send(RequestSpec spec, long intendedNanos, int address, int attempt) {
    Attempt state = new Attempt(address, attempt);
    InFlightRequest inFlight = new InFlightRequest(spec, intendedNanos, state);
    open.put(inFlight, state);
    clients.get(address).send(inFlight);
  }

  private void expire() {
    clients.forEach(client -> client.expire(System.nanoTime()));
    if (stopped && open.isEmpty()) {
      finished.complete(samples);
    } else {
      loop.schedule(this::expire, EXPIRY_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private boolean triesNextAddress(Outcome outcome, int attempt) {
    return NEXT_ADDRESS_CODES.contains(outcome.code()) && attempt + 1 < clients.size();
  }

  /** One attempt that is in flight. */
  private final class Attempt implements RequestListener {
    private final int address;
    private final int number;
    private long firstTokenNanos;

    private Attempt(int address, int number) {
      this.address = address;
      this.number = number;
    }

    @Override
    public void onFirstToken(InFlightRequest inFlight, long nanos) {
      firstTokenNanos = nanos;
    }

    @Override
    public void onNextToken(InFlightRequest inFlight, long nanos) {
      // Samples hold the time to the first token only.
    }

    @Override
    public void onEnd(InFlightRequest inFlight, Outcome outcome, long nowNanos) {
      open.remove(inFlight);
      RequestSpec spec = inFlight.spec();
      samples.add(
          new Sample(
              spec.id(),
              spec.kind().name(),
              address,
              number,
              inFlight.intendedNanos(),
              firstTokenNanos,
              nowNanos,
              outcome));
      if (triesNextAddress(outcome, number)) {
        int next = (address + 1) % clients.size();
        loop.execute(() -> send(spec, inFlight.intendedNanos(), next, number + 1));
      }
    }
  }
}
