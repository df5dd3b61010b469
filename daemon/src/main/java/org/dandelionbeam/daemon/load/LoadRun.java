package org.dandelionbeam.daemon.load;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Open-loop load: requests start as a seeded Poisson process with a fixed mean rate, whether or not
 * earlier ones have ended. Latencies are measured from the intended start, so that delays before
 * sending count as well.
 */
final class LoadRun {
  private static final long DRAIN_CHECK_MILLIS = 20;
  private static final double NANOS_PER_SECOND = 1e9;

  private final LoadOptions options;
  private final Mix mix;
  private final SplittableRandom arrivalRandom;
  private final SplittableRandom requestRandom;
  private final CompletableFuture<LoadResults> finished = new CompletableFuture<>();
  private EventLoop loop;
  private List<LoadClient> clients;
  private LoadResults results;
  private long startNanos;
  private double nextNanos;
  private long startedRequests;

  LoadRun(LoadOptions options, Mix mix) {
    this.options = options;
    this.mix = mix;
    SplittableRandom root = new SplittableRandom(options.seed());
    arrivalRandom = root.split();
    requestRandom = root.split();
  }

  /** Runs the load, waits until all requests have ended and returns the results. */
  LoadResults run() {
    try (Group group = new Group()) {
      loop = group.netty.next();
      clients =
          options.addresses().stream()
              .map(to -> new LoadClient(loop, to, options.connections(), options.timeout()))
              .toList();
      loop.execute(this::start);
      return finished.join();
    }
  }

  private void start() {
    startNanos = System.nanoTime();
    results = new LoadResults(startNanos);
    tick();
  }

  private void tick() {
    try {
      double now = System.nanoTime() - startNanos;
      while (nextNanos <= now && !hasStartedAll()) {
        startNext();
      }
      scheduleAtNextStart(hasStartedAll() ? this::drain : this::tick);
    } catch (RuntimeException e) {
      finished.completeExceptionally(e);
    }
  }

  private void scheduleAtNextStart(Runnable task) {
    long wait = (long) Math.max(0, nextNanos - (System.nanoTime() - startNanos));
    loop.schedule(task, wait, TimeUnit.NANOSECONDS);
  }

  private boolean hasStartedAll() {
    return startedRequests >= options.count() || nextNanos >= options.duration().toNanos();
  }

  private void startNext() {
    RequestSpec spec = mix.draw("load-" + options.seed() + "-" + startedRequests, requestRandom);
    InFlightRequest inFlight = new InFlightRequest(spec, startNanos + (long) nextNanos, results);
    results.started(inFlight);
    clients.get((int) (startedRequests % clients.size())).send(inFlight);
    startedRequests++;
    nextNanos -= Math.log(1 - arrivalRandom.nextDouble()) * NANOS_PER_SECOND / options.rate();
  }

  private void drain() {
    if (results.open() == 0) {
      finished.complete(results);
    } else {
      clients.forEach(client -> client.expire(System.nanoTime()));
      loop.schedule(this::drain, DRAIN_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Event loop group with one thread, shut down at the end of the run. */
  private static final class Group implements AutoCloseable {
    private final MultiThreadIoEventLoopGroup netty =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @Override
    public void close() {
      netty.shutdownGracefully(0, Duration.ofSeconds(1).toMillis(), TimeUnit.MILLISECONDS);
    }
  }
}
