package org.dandelionbeam.daemon.bench;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.daemon.bench.ClosedLoopLoad.RequestTemplate;
import org.dandelionbeam.daemon.bench.ClosedLoopLoad.Result;
import org.dandelionbeam.daemon.bench.Figure.Target;

/**
 * Measures latency and throughput of requests through a router, compared with calling the stand-in
 * directly in the same run.
 */
public final class RelayBench {
  private static final int WARM_UP_REQUESTS = 30_000;
  private static final int SHORT_REQUESTS = 60_000;
  private static final int CONCURRENCY = 64;
  private static final int STREAMS = 300;
  private static final int STREAM_CONCURRENCY = 48;
  private static final int STREAM_TOKENS = 600;
  private static final int LINES_PER_EVENT = 3;
  private static final double MAX_ADDED_MILLIS = 1;
  private static final double MIN_REQUESTS_PER_SECOND = 5_000;
  private static final double MIN_TOKENS_PER_SECOND = 50_000;

  private RelayBench() {}

  /**
   * Runs the measurement.
   *
   * @return its figures
   */
  public static List<Figure> run() {
    MultiThreadIoEventLoopGroup group =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (RelayBenchFleet fleet = RelayBenchFleet.start()) {
      List<Figure> figures = new ArrayList<>();
      measureShort(fleet, group.next(), figures);
      measureStreams(fleet, group.next(), figures);
      return figures;
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static void measureShort(RelayBenchFleet fleet, EventLoop loop, List<Figure> figures) {
    RequestTemplate direct = new RequestTemplate(HttpMethod.GET, "/checks/1", "", "");
    RequestTemplate routed =
        new RequestTemplate(
            HttpMethod.GET, "/v1/services/ledger/checks/1", RelayBenchFleet.KEY, "");
    run(loop, fleet.ledger(), direct, CONCURRENCY, WARM_UP_REQUESTS);
    run(loop, fleet.router(), routed, CONCURRENCY, WARM_UP_REQUESTS);
    Result directSerial = run(loop, fleet.ledger(), direct, 1, SHORT_REQUESTS / 4);
    Result routedSerial = run(loop, fleet.router(), routed, 1, SHORT_REQUESTS / 4);
    add(
        figures,
        "relay_added_p50",
        addedMillis(directSerial, routedSerial, 50),
        "ms",
        Target.atMost(MAX_ADDED_MILLIS));
    add(
        figures,
        "relay_added_p95",
        addedMillis(directSerial, routedSerial, 95),
        "ms",
        Target.none());
    Result directFull = run(loop, fleet.ledger(), direct, CONCURRENCY, SHORT_REQUESTS);
    Result routedFull = run(loop, fleet.router(), routed, CONCURRENCY, SHORT_REQUESTS);
    Target rate = Target.atLeast(MIN_REQUESTS_PER_SECOND);
    add(figures, "relay_requests", routedFull.perSecond(), "1/s", rate);
    double ratio = routedFull.perSecond() / directFull.perSecond();
    add(figures, "relay_requests_ratio_to_direct", ratio, "1", Target.none());
    add(
        figures,
        "relay_failed",
        routedFull.failed() + routedSerial.failed(),
        "1",
        Target.atMost(0));
  }

  private static void measureStreams(RelayBenchFleet fleet, EventLoop loop, List<Figure> figures) {
    String body =
        ("{\"model\":\"m\",\"stream\":true,\"max_tokens\":%d,"
                + "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}")
            .formatted(STREAM_TOKENS, "word ".repeat(STREAM_TOKENS));
    RequestTemplate request =
        new RequestTemplate(HttpMethod.POST, "/v1/chat/completions", RelayBenchFleet.KEY, body);
    run(loop, fleet.router(), request, STREAM_CONCURRENCY, STREAM_CONCURRENCY);
    Result direct = run(loop, fleet.engine(), request, STREAM_CONCURRENCY, STREAMS);
    Result streams = run(loop, fleet.router(), request, STREAM_CONCURRENCY, STREAMS);
    double rate = tokensPerSecond(streams);
    add(figures, "relay_tokens", rate, "1/s", Target.atLeast(MIN_TOKENS_PER_SECOND));
    double ratio = rate / tokensPerSecond(direct);
    add(figures, "relay_tokens_ratio_to_direct", ratio, "1", Target.none());
    add(figures, "relay_streams_failed", streams.failed(), "1", Target.atMost(0));
  }

  private static double tokensPerSecond(Result streams) {
    double tokens = streams.lineEnds() / (double) LINES_PER_EVENT;
    return tokens / (streams.elapsedNanos() / 1e9);
  }

  private static Result run(
      EventLoop loop,
      InetSocketAddress address,
      RequestTemplate request,
      int concurrency,
      long count) {
    return ClosedLoopLoad.run(loop, address, request, concurrency, count);
  }

  private static double addedMillis(Result direct, Result routed, double percentile) {
    return routed.percentileMillis(percentile) - direct.percentileMillis(percentile);
  }

  private static void add(
      List<Figure> figures, String name, double value, String unit, Target target) {
    figures.add(new Figure(name, value, unit, target));
  }
}
