package org.dandelionbeam.daemon.bench;

import io.micrometer.core.instrument.Counter;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.RequestKind;
import org.dandelionbeam.config.Service;
import org.dandelionbeam.config.ServiceType;
import org.dandelionbeam.daemon.bench.ClosedLoopLoad.RequestTemplate;
import org.dandelionbeam.daemon.bench.Figure.Target;
import org.dandelionbeam.daemon.fleet.LocalFleet;
import org.dandelionbeam.daemon.fleet.Site;
import org.dandelionbeam.daemon.fleet.StandIns;
import org.dandelionbeam.node.wiring.RouterNode;

/**
 * Measures control traffic, processor time and heap per node, idle and under load, for fleets of
 * several sizes in this process.
 */
public final class ControlBench {
  private static final int[] FLEET_SIZES = {4, 8, 16, 32};
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration SETTLE_TIME = Duration.ofSeconds(5);
  private static final Duration MEASURING_TIME = Duration.ofSeconds(8);
  private static final int REQUESTS_PER_NODE = 150;
  private static final List<String> CONTROL_THREAD_PREFIXES =
      List.of("membership-", "config-", "share-", "dispatch-", "claims-", "peer-");
  private static final double BUDGET_BYTES_PER_SECOND = 3_000;
  private static final double BYTES_PER_MEBIBYTE = 1 << 20;

  private ControlBench() {}

  /**
   * Runs the measurement.
   *
   * @return its figures
   */
  public static List<Figure> run() {
    List<Figure> figures = new ArrayList<>();
    for (int size : FLEET_SIZES) {
      measure(size, figures);
    }
    return figures;
  }

  private static void measure(int size, List<Figure> figures) {
    long heapBefore = usedHeap();
    try (LocalFleet fleet =
        LocalFleet.builder()
            .texts(Site.MAJLIS.texts())
            .pace(new StandIns.Pace(2_000, 0, Duration.ofMillis(1), List.of()))
            .routers(size)
            .start()) {
      fleet.apply(List.of());
      if (!fleet.awaitReady(READY_TIMEOUT)) {
        throw new IllegalStateException(
            "the routers of the fleet did not become ready before the timeout");
      }
      sleep(SETTLE_TIME);
      double heap = (usedHeap() - heapBefore) / BYTES_PER_MEBIBYTE / size;
      Reading idle = measureIdle(fleet, size, figures);
      measureLoaded(fleet, size, idle, figures);
      add(figures, "control_heap_per_node_" + size, heap, "MiB", Target.none());
    }
  }

  private static Reading measureIdle(LocalFleet fleet, int size, List<Figure> figures) {
    Reading before = Reading.of(fleet);
    sleep(MEASURING_TIME);
    Reading spent = Reading.of(fleet).since(before);
    double nodeSeconds = size * spent.seconds();
    Target bytes = Target.atMost(BUDGET_BYTES_PER_SECOND);
    add(figures, "control_idle_bytes_" + size, spent.bytes() / nodeSeconds, "B/s", bytes);
    add(
        figures,
        "control_idle_messages_" + size,
        spent.messages() / nodeSeconds,
        "1/s",
        Target.none());
    double core = spent.cpuNanos() / 1e7 / nodeSeconds;
    add(figures, "control_idle_core_" + size, core, "%", Target.none());
    double calls = (spent.storeCalls()) / spent.seconds();
    add(figures, "control_idle_platform_calls_" + size, calls, "1/s", Target.none());
    return spent;
  }

  private static void measureLoaded(
      LocalFleet fleet, int size, Reading idle, List<Figure> figures) {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try {
      RequestTemplate request = readRequest();
      run(fleet, group, request);
      Reading before = Reading.of(fleet);
      run(fleet, group, request);
      sleep(Duration.ofSeconds(1));
      Reading spent = Reading.of(fleet).since(before).withoutIdleCost(idle);
      double requests = (double) size * REQUESTS_PER_NODE;
      add(
          figures,
          "control_bytes_per_request_" + size,
          spent.bytes() / requests,
          "B",
          Target.none());
      add(
          figures,
          "control_messages_per_request_" + size,
          spent.messages() / requests,
          "1",
          Target.none());
      double micros = spent.cpuNanos() / 1e3 / requests;
      add(figures, "control_core_per_request_" + size, micros, "us", Target.none());
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static void run(
      LocalFleet fleet, MultiThreadIoEventLoopGroup group, RequestTemplate request) {
    for (RouterNode router : fleet.routers()) {
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", router.callerPort());
      ClosedLoopLoad.run(group.next(), address, request, 2, REQUESTS_PER_NODE);
    }
  }

  private static RequestTemplate readRequest() {
    Configuration configuration = Site.MAJLIS.configuration();
    Service plain =
        configuration.services().stream()
            .filter(service -> service.type() == ServiceType.PLAIN)
            .findFirst()
            .orElseThrow();
    RequestKind read =
        plain.kinds().stream().filter(RequestKind::idempotent).findFirst().orElseThrow();
    String path = read.path().replace("/**", "/checks/1").replace("*", "1");
    String key = Site.MAJLIS.teamKey(configuration.teams().get(0).name());
    return new RequestTemplate(HttpMethod.GET, "/v1/services/" + plain.name() + path, key, "");
  }

  private static long usedHeap() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private static void sleep(Duration time) {
    SiteTrial.sleep(time.toMillis());
  }

  private static void add(
      List<Figure> figures, String name, double value, String unit, Target target) {
    figures.add(new Figure(name, value, unit, target));
  }

  /**
   * Totals over all nodes at one time, or the difference of two such readings.
   *
   * @param timeNanos time of the reading, or the time between the two readings
   * @param bytes bytes sent to peers, frames included
   * @param messages messages sent to peers
   * @param storeCalls calls to the platform's key-value store
   * @param cpuNanos processor time of the control threads
   */
  private record Reading(
      long timeNanos, double bytes, double messages, double storeCalls, double cpuNanos) {

    static Reading of(LocalFleet fleet) {
      double bytes = 0;
      double messages = 0;
      double calls = 0;
      for (RouterNode router : fleet.routers()) {
        bytes += count(router, "dandelionbeam.peer.sent.bytes");
        messages += count(router, "dandelionbeam.peer.sent.messages");
        calls += count(router, "dandelionbeam.store.calls");
      }
      return new Reading(System.nanoTime(), bytes, messages, calls, controlCpuNanos());
    }

    Reading since(Reading before) {
      return new Reading(
          timeNanos - before.timeNanos,
          bytes - before.bytes,
          messages - before.messages,
          storeCalls - before.storeCalls,
          cpuNanos - before.cpuNanos);
    }

    /** Subtracts what an idle fleet uses in the same time. */
    Reading withoutIdleCost(Reading idle) {
      double share = (double) timeNanos / idle.timeNanos;
      return new Reading(
          timeNanos,
          bytes - share * idle.bytes,
          messages - share * idle.messages,
          storeCalls - share * idle.storeCalls,
          cpuNanos - share * idle.cpuNanos);
    }

    double seconds() {
      return timeNanos / 1e9;
    }

    private static double count(RouterNode router, String name) {
      Counter counter = router.meters().find(name).counter();
      return counter == null ? 0 : counter.count();
    }

    private static double controlCpuNanos() {
      ThreadMXBean threads = ManagementFactory.getThreadMXBean();
      double nanos = 0;
      for (long id : threads.getAllThreadIds()) {
        ThreadInfo info = threads.getThreadInfo(id);
        if (info != null
            && CONTROL_THREAD_PREFIXES.stream().anyMatch(info.getThreadName()::startsWith)) {
          nanos += Math.max(0, threads.getThreadCpuTime(id));
        }
      }
      return nanos;
    }
  }
}
