package org.dandelionbeam.routing.wiring;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.routing.Endpoint;

/** A connection to an upstream whose bytes a test plays. */
final class UpstreamChannel {
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final UpstreamConnection connection;

  UpstreamChannel(ChannelHandler... first) {
    channel.pipeline().addLast(first).addLast(new UpstreamConnectionPool.Pipeline());
    UpstreamConnectionPool pool =
        new UpstreamConnectionPool(channel.eventLoop(), UnpooledByteBufAllocator.DEFAULT);
    connection = channel.pipeline().get(UpstreamConnection.class);
    connection.attachTo(pool, new Endpoint("10.0.0.1", 80));
  }

  /** Sends a request and returns what becomes of it. */
  Exchange send(HttpMethod method, String requestId) {
    Exchange exchange = new Exchange();
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/", Unpooled.EMPTY_BUFFER);
    new UpstreamExchange(new PlainDialect(), request, requestId, exchange).connected(connection);
    return exchange;
  }

  void receive(String bytes) {
    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
  }

  EmbeddedChannel netty() {
    return channel;
  }

  /** Notes the outcome of an exchange. */
  static final class Exchange implements UpstreamExchange.Listener {
    final StringBuilder body = new StringBuilder();
    String outcome = "open";
    int status;

    @Override
    public void head(HttpResponse head, HttpDialect.ResponseMetadata metadata) {
      status = head.status().code();
    }

    @Override
    public void content(ByteBuf part) {
      body.append(part.toString(StandardCharsets.US_ASCII));
    }

    @Override
    public void readComplete() {}

    @Override
    public void complete(BodyFraming framing) {
      outcome = "complete";
    }

    @Override
    public void failed(Verdict verdict, String cause) {
      outcome = "failed " + verdict;
    }
  }
}
