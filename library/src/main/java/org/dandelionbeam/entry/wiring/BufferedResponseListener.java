package org.dandelionbeam.entry.wiring;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dandelionbeam.config.CostUnit;
import org.dandelionbeam.entry.FlowAction;
import org.dandelionbeam.upstream.ExchangeFault;

/**
 * Buffers a response until it is complete, so that a broken one never reaches the caller and can be
 * retried. A response above 1 MiB is relayed in parts from then on.
 */
final class BufferedResponseListener implements ResponseListener {
  private static final int MAX_BUFFERED_BYTES = 1 << 20;
  private static final Set<String> NOT_RELAYED =
      Set.of("connection", "keep-alive", "transfer-encoding", "content-length", "x-exchange-id");

  private final RequestRelay relay;
  private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
  private final long startNanos;
  private HttpResponse head;
  private boolean relaying;

  BufferedResponseListener(RequestRelay relay) {
    this.relay = relay;
    startNanos = relay.now();
  }

  @Override
  public void head(HttpResponse received) {
    relay.flow().firstByteReceived(relay.now());
    Optional<ExchangeFault> fault = ResponseListener.faultOf(relay, received);
    if (fault.isPresent()) {
      relay.failExchange(fault.get());
      return;
    }
    head = received;
  }

  @Override
  public void body(ByteBuf part) {
    if (relaying) {
      relay.caller().writePart(part.retain());
      relay.caller().flush();
      pauseUnlessWritable();
      return;
    }
    byte[] bytes = new byte[part.readableBytes()];
    part.readBytes(bytes);
    buffered.writeBytes(bytes);
    if (buffered.size() > MAX_BUFFERED_BYTES) {
      startRelaying();
    }
  }

  @Override
  public void end() {
    relay.perform(relay.flow().responseAccepted());
    double cost = cost();
    if (relaying) {
      relay.caller().end();
    } else {
      relay.caller().respond(wholeResponse());
    }
    boolean isError = head.status().codeClass() == HttpStatusClass.SERVER_ERROR;
    long now = relay.now();
    relay.perform(
        isError
            ? relay.flow().errorResponseCompleted(cost, now)
            : relay.flow().responseCompleted(cost, now));
    relay.finish(head.status().code());
  }

  @Override
  public void failed(ExchangeFault fault) {
    relay.perform(relay.flow().failed(fault, relay.now()));
  }

  @Override
  public boolean isRelaying() {
    return relaying;
  }

  @Override
  public void abort(FlowAction.Fail failure) {
    relay.caller().abort();
  }

  @Override
  public double costSoFar() {
    return 0;
  }

  private double cost() {
    CostUnit unit = relay.request().service().costUnit();
    double tokens = unit == CostUnit.TOKENS ? ChatRequestBody.tokensOf(buffered.toByteArray()) : 0;
    return unit.cost((long) tokens, relay.now() - startNanos);
  }

  private void startRelaying() {
    relaying = true;
    relay.perform(relay.flow().responseAccepted());
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
    copyHeaders(response.headers());
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    relay.caller().writeHead(response);
    relay.caller().writePart(Unpooled.wrappedBuffer(buffered.toByteArray()));
    relay.caller().flush();
    pauseUnlessWritable();
  }

  private void pauseUnlessWritable() {
    if (!relay.caller().isWritable()) {
      relay.exchange().setReading(false);
    }
  }

  private DefaultFullHttpResponse wholeResponse() {
    HttpResponseStatus status = head.status();
    ByteBuf body = Unpooled.wrappedBuffer(buffered.toByteArray());
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            status,
            body,
            DefaultHttpHeadersFactory.headersFactory(),
            DefaultHttpHeadersFactory.trailersFactory());
    copyHeaders(response.headers());
    if (!status.equals(HttpResponseStatus.NO_CONTENT)) {
      response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    return response;
  }

  private void copyHeaders(HttpHeaders target) {
    for (Map.Entry<String, String> header : head.headers()) {
      if (!NOT_RELAYED.contains(header.getKey().toLowerCase(java.util.Locale.ROOT))) {
        target.add(header.getKey(), header.getValue());
      }
    }
  }
}
