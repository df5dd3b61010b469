package org.dandelionbeam.upstream.wiring;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.upstream.ExchangeFault;

/**
 * HTTP client for the control endpoints of engines. It reads JSON bodies, bounded in size and time.
 * Thread-safe.
 *
 * <p>A future completes on the event loop. It fails with a {@link FleetException} whose verdict
 * tells whether the engine may have processed the call.
 */
public final class EngineClient {
  private static final int MAX_BODY_BYTES = 1 << 20;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final EventLoop loop;
  private final UpstreamClient client;

  private EngineClient(EventLoop loop) {
    this.loop = requireNonNull(loop, "loop");
    client = UpstreamClient.of(loop);
  }

  /**
   * Returns a client; it connects on the first call.
   *
   * @param loop the event loop of its connections
   * @return the client
   */
  public static EngineClient of(EventLoop loop) {
    return new EngineClient(loop);
  }

  /**
   * Sends a GET request to an engine.
   *
   * @param address address that the engine listens on
   * @param path path with query
   * @param timeout longest time from now to the end of the response
   * @return the response, whatever its status
   */
  public CompletableFuture<EngineReply> read(
      InetSocketAddress address, String path, Duration timeout) {
    PendingCall call = new PendingCall();
    loop.execute(
        () -> {
          Future<?> timer = loop.schedule(call::expire, timeout.toNanos(), TimeUnit.NANOSECONDS);
          call.reply.whenComplete((reply, failure) -> timer.cancel(false));
          call.exchange = client.send(address, request(address, path), true, timeout, call);
        });
    return call.reply;
  }

  /** Closes the idle connections. */
  public void close() {
    client.close();
  }

  private static FullHttpRequest request(InetSocketAddress address, String path) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
    String host = address.getHostString() + ":" + address.getPort();
    request.headers().set(HttpHeaderNames.HOST, host);
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    return request;
  }

  private static final class PendingCall implements Exchange.Listener {
    private final CompletableFuture<EngineReply> reply = new CompletableFuture<>();
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private Exchange exchange;
    private int status;

    @Override
    public void head(HttpResponse head) {
      status = head.status().code();
    }

    @Override
    public void body(ByteBuf part) {
      if (bytes.size() + part.readableBytes() > MAX_BODY_BYTES) {
        abandon(ExchangeFault.MALFORMED);
        return;
      }
      byte[] copy = new byte[part.readableBytes()];
      part.readBytes(copy);
      bytes.writeBytes(copy);
    }

    @Override
    public void end() {
      try {
        JsonNode body = MAPPER.readTree(bytes.toByteArray());
        reply.complete(new EngineReply(status, body == null ? MissingNode.getInstance() : body));
      } catch (IOException e) {
        failed(ExchangeFault.MALFORMED);
      }
    }

    @Override
    public void failed(ExchangeFault fault) {
      String detail = "the call to the engine failed: " + fault;
      reply.completeExceptionally(new FleetException(fault.code(), fault.verdict(), detail));
    }

    void expire() {
      abandon(ExchangeFault.TIMED_OUT);
    }

    private void abandon(ExchangeFault fault) {
      exchange.abandon();
      failed(fault);
    }
  }
}
