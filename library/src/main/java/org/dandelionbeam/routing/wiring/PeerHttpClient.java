package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.routing.FleetMembers.Member;

/** Gets pages from other routers. Confined to one event loop. */
final class PeerHttpClient {
  /** Values of the store have at most 1 MB, which takes a third more as text. */
  private static final int MAX_BODY_BYTES = 8 << 20;

  private final RouterContext router;
  private final UpstreamConnectionPool pool;

  PeerHttpClient(RouterContext router) {
    this.router = requireNonNull(router, "router");
    pool = new UpstreamConnectionPool(router.loop(), ByteBufAllocator.DEFAULT);
  }

  /** What has become of a call. */
  sealed interface Result {

    /** The peer has responded. */
    record Response(int status, byte[] body) implements Result {}

    /** There is no whole response. */
    record Failure(String cause) implements Result {}
  }

  /** Gets a page; the receiver is called once. */
  void get(Member peer, String uri, Duration timeout, Consumer<Result> receiver) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, uri, Unpooled.EMPTY_BUFFER);
    request.headers().set(HttpHeaderNames.HOST, peer.peers().toString());
    request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    Call call = new Call(receiver);
    UpstreamExchange exchange = new UpstreamExchange(router.dialect(), request, "", call);
    pool.start(peer.peers(), exchange);
    router
        .loop()
        .schedule(
            () -> {
              exchange.abandon();
              call.end(new Result.Failure("timeout"));
            },
            timeout.toMillis(),
            TimeUnit.MILLISECONDS);
  }

  /** Collects the response of one peer. */
  private static final class Call implements UpstreamExchange.Listener {
    private final Consumer<Result> receiver;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private boolean tooLarge;
    private boolean ended;

    Call(Consumer<Result> receiver) {
      this.receiver = requireNonNull(receiver, "receiver");
    }

    @Override
    public void head(HttpResponse head, HttpDialect.ResponseMetadata metadata) {
      status = head.status().code();
    }

    @Override
    public void content(ByteBuf part) {
      tooLarge |= body.size() + part.readableBytes() > MAX_BODY_BYTES;
      if (!tooLarge) {
        body.writeBytes(ByteBufUtil.getBytes(part));
      }
    }

    @Override
    public void readComplete() {}

    @Override
    public void complete(BodyFraming framing) {
      end(
          tooLarge
              ? new Result.Failure("response is too large")
              : new Result.Response(status, body.toByteArray()));
    }

    @Override
    public void failed(Verdict verdict, String cause) {
      end(new Result.Failure(cause));
    }

    void end(Result result) {
      if (!ended) {
        ended = true;
        receiver.accept(result);
      }
    }
  }
}
