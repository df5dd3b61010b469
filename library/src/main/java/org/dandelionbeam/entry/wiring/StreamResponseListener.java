package org.dandelionbeam.entry.wiring;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.entry.FlowAction;
import org.dandelionbeam.entry.SseEventReader;
import org.dandelionbeam.entry.StreamPosition;
import org.dandelionbeam.upstream.ExchangeFault;

/** Relays server-sent events with event ids from which any router can resume the stream. */
final class StreamResponseListener implements ResponseListener {
  private final RequestRelay relay;
  private final SseEventReader reader;
  private final String idPrefix;
  private BufferedResponseListener nonStreamListener;
  private final boolean adopted;
  private boolean relaying;
  private double usage;

  private StreamResponseListener(RequestRelay relay, long afterOffset, boolean adopted) {
    this.relay = relay;
    this.adopted = adopted;
    reader = SseEventReader.of(this::relayEvent, afterOffset);
    RequestId exchange = RequestId.of(relay.request().exchangeId(relay.attempt()));
    idPrefix =
        new StreamPosition(relay.upstreamId(), exchange, 0)
            .prefix(relay.state().context().fleetKey(), relay.request().team().id());
  }

  static StreamResponseListener fresh(RequestRelay relay) {
    return new StreamResponseListener(relay, 0, false);
  }

  static StreamResponseListener adopted(RequestRelay relay, long afterOffset) {
    return new StreamResponseListener(relay, afterOffset, true);
  }

  @Override
  public void head(HttpResponse head) {
    relay.flow().firstByteReceived(relay.now());
    Optional<ExchangeFault> fault = ResponseListener.faultOf(relay, head);
    boolean isStream = head.status().equals(HttpResponseStatus.OK);
    if (relaying || adopted) {
      handleResumeHead(fault, isStream);
    } else if (fault.isPresent()) {
      relay.failExchange(fault.get());
    } else if (!isStream) {
      nonStreamListener = new BufferedResponseListener(relay);
      nonStreamListener.head(head);
    } else {
      startRelaying();
    }
  }

  @Override
  public void body(ByteBuf part) {
    if (nonStreamListener != null) {
      nonStreamListener.body(part);
      return;
    }
    boolean intact = reader.read(ByteBufUtil.getBytes(part));
    relay.caller().flush();
    if (!intact) {
      relay.exchange().abandon();
      streamBroken(ExchangeFault.MALFORMED);
    } else if (!relay.caller().isWritable()) {
      relay.exchange().setReading(false);
    }
  }

  @Override
  public void end() {
    if (nonStreamListener != null) {
      nonStreamListener.end();
    } else if (reader.isDone()) {
      relay.caller().writePart(text("data: [DONE]\n\n"));
      relay.caller().end();
      relay.perform(
          relay.flow().responseCompleted(Math.max(usage, reader.lastOffset()), relay.now()));
      relay.finish(HttpResponseStatus.OK.code());
    } else {
      streamBroken(ExchangeFault.CONNECTION_LOST);
    }
  }

  @Override
  public void failed(ExchangeFault fault) {
    if (nonStreamListener != null) {
      nonStreamListener.failed(fault);
    } else if (reader.isDone()) {
      end();
    } else {
      streamBroken(fault);
    }
  }

  @Override
  public boolean isRelaying() {
    return relaying;
  }

  @Override
  public void abort(FlowAction.Fail failure) {
    String data =
        Responses.problemBody(failure.code(), failure.verdict(), failure.detail()).toString();
    relay.caller().writePart(text("event: error\ndata: " + data + "\n\n"));
    relay.caller().end();
  }

  @Override
  public double costSoFar() {
    return reader.lastOffset();
  }

  private void handleResumeHead(Optional<ExchangeFault> fault, boolean isStream) {
    if (fault.isEmpty() && isStream) {
      if (!relaying) {
        startRelaying();
      }
      return;
    }
    relay.exchange().abandon();
    relay.perform(relay.flow().resumeRefused(reader.lastOffset(), relay.now()));
  }

  private void streamBroken(ExchangeFault fault) {
    reader.discardPartialEvent();
    relay.perform(relay.flow().streamBroken(fault, reader.lastOffset(), relay.now()));
  }

  private void startRelaying() {
    relaying = true;
    relay.perform(relay.flow().responseAccepted());
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
    response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    relay.caller().writeHead(response);
  }

  private void relayEvent(long offset, String data) {
    if (data.contains("\"usage\"")) {
      usage = ChatRequestBody.tokensOf(data.getBytes(StandardCharsets.UTF_8));
    }
    relay.caller().writePart(text("id: " + idPrefix + offset + "\ndata: " + data + "\n\n"));
  }

  private static ByteBuf text(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }
}
