package org.dandelionbeam.daemon.bench;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;
import org.dandelionbeam.upstream.ExchangeFault;
import org.dandelionbeam.upstream.wiring.Exchange;
import org.dandelionbeam.upstream.wiring.UpstreamClient;

/**
 * Closed-loop load generator: sends a given number of requests, a fixed number of them at a time,
 * over keep-alive connections.
 */
final class ClosedLoopLoad {
  private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(20);
  private static final long MAX_LATENCY_NANOS = Duration.ofSeconds(60).toNanos();

  private final EventLoop loop;
  private final UpstreamClient client;
  private final InetSocketAddress address;
  private final RequestTemplate template;
  private final Histogram latency = new Histogram(MAX_LATENCY_NANOS, 3);
  private final CompletableFuture<Result> done = new CompletableFuture<>();
  private long remaining;
  private int inFlight;
  private long failed;
  private long lineEnds;
  private long startNanos;

  private ClosedLoopLoad(
      EventLoop loop, InetSocketAddress address, RequestTemplate template, long count) {
    this.loop = loop;
    this.address = address;
    this.template = template;
    remaining = count;
    client = UpstreamClient.of(loop);
  }

  static Result run(
      EventLoop loop,
      InetSocketAddress address,
      RequestTemplate template,
      int concurrency,
      long count) {
    ClosedLoopLoad closed = new ClosedLoopLoad(loop, address, template, count);
    loop.execute(() -> closed.start(concurrency));
    Result result = closed.done.join();
    closed.client.close();
    return result;
  }

  private void start(int concurrency) {
    startNanos = System.nanoTime();
    for (int i = 0; i < concurrency && remaining > 0; i++) {
      next();
    }
  }

  private void next() {
    remaining--;
    inFlight++;
    client.send(address, template.request(address), true, SILENCE_TIMEOUT, new Listener());
  }

  private void ended(boolean answered, long nanos) {
    inFlight--;
    if (answered) {
      latency.recordValue(Math.min(nanos, MAX_LATENCY_NANOS));
    } else {
      failed++;
    }
    if (remaining > 0) {
      loop.execute(this::next);
    } else if (inFlight == 0) {
      done.complete(new Result(latency, failed, lineEnds, System.nanoTime() - startNanos));
    }
  }

  /**
   * Outcome of a run.
   *
   * @param latency nanoseconds from sending to the end of the response
   * @param failed requests without a 2xx response
   * @param lineEnds line feeds in all response bodies
   * @param elapsedNanos duration of the run
   */
  record Result(Histogram latency, long failed, long lineEnds, long elapsedNanos) {
    double perSecond() {
      return latency.getTotalCount() / (elapsedNanos / 1e9);
    }

    double percentileMillis(double percentile) {
      return latency.getValueAtPercentile(percentile) / 1e6;
    }
  }

  /**
   * Request that is sent repeatedly.
   *
   * @param method HTTP method
   * @param uri path and query
   * @param key bearer key, empty for none
   * @param body request body, sent as UTF-8
   */
  record RequestTemplate(HttpMethod method, String uri, String key, String body) {
    FullHttpRequest request(InetSocketAddress address) {
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      FullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, method, uri, Unpooled.wrappedBuffer(bytes));
      request.headers().set(HttpHeaderNames.HOST, address.getHostString());
      request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
      if (!key.isEmpty()) {
        request.headers().set(HttpHeaderNames.AUTHORIZATION, "Bearer " + key);
      }
      return request;
    }
  }

  private final class Listener implements Exchange.Listener {
    private final long sentNanos = System.nanoTime();
    private boolean successful;

    @Override
    public void head(HttpResponse head) {
      successful = head.status().code() / 100 == 2;
    }

    @Override
    public void body(ByteBuf part) {
      part.forEachByte(
          octet -> {
            lineEnds += octet == '\n' ? 1 : 0;
            return true;
          });
    }

    @Override
    public void end() {
      ended(successful, System.nanoTime() - sentNanos);
    }

    @Override
    public void failed(ExchangeFault fault) {
      ended(false, 0);
    }
  }
}
