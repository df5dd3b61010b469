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
import org.dandelionbeam.entry.EventReader;
import org.dandelionbeam.entry.FlowAction;
import org.dandelionbeam.entry.StreamId;
import org.dandelionbeam.upstream.ExchangeFault;

/** Relays server-sent events with event ids that any router can resume from. */
final class StreamAnswer implements AnswerListener {
  private final RequestRelay relay;
  private final EventReader reader;
  private final String idPrefix;
  private WholeAnswer instead;
  private final boolean takenUp;
  private boolean relaying;
  private double usage;

  private StreamAnswer(RequestRelay relay, long afterOffset, boolean takenUp) {
    this.relay = relay;
    this.takenUp = takenUp;
    reader = EventReader.of(this::relayEvent, afterOffset);
    RequestId exchange = RequestId.of(relay.call().exchangeId(relay.attempt()));
    idPrefix =
        new StreamId(relay.upstreamId(), exchange, 0)
            .prefix(relay.state().context().fleetKey(), relay.call().team().id());
  }

  static StreamAnswer fresh(RequestRelay relay) {
    return new StreamAnswer(relay, 0, false);
  }

  static StreamAnswer takenUp(RequestRelay relay, long afterOffset) {
    return new StreamAnswer(relay, afterOffset, true);
  }

  @Override
  public void head(HttpResponse head) {
    relay.flow().firstByte(relay.now());
    Optional<ExchangeFault> fault = AnswerListener.faultOf(relay, head);
    boolean isStream = head.status().equals(HttpResponseStatus.OK);
    if (relaying || takenUp) {
      headOfResume(fault, isStream);
    } else if (fault.isPresent()) {
      relay.giveUpExchange(fault.get());
    } else if (!isStream) {
      instead = new WholeAnswer(relay);
      instead.head(head);
    } else {
      startRelaying();
    }
  }

  @Override
  public void body(ByteBuf part) {
    if (instead != null) {
      instead.body(part);
      return;
    }
    boolean intact = reader.read(ByteBufUtil.getBytes(part));
    relay.caller().flush();
    if (!intact) {
      relay.exchange().abandon();
      broke(ExchangeFault.MALFORMED);
    } else if (!relay.caller().isWritable()) {
      relay.exchange().setReading(false);
    }
  }

  @Override
  public void end() {
    if (instead != null) {
      instead.end();
    } else if (reader.isDone()) {
      relay.caller().part(text("data: [DONE]\n\n"));
      relay.caller().end();
      relay.perform(relay.flow().ended(Math.max(usage, reader.lastOffset()), relay.now()));
      relay.over(HttpResponseStatus.OK.code());
    } else {
      broke(ExchangeFault.CONNECTION_LOST);
    }
  }

  @Override
  public void failed(ExchangeFault fault) {
    if (instead != null) {
      instead.failed(fault);
    } else if (reader.isDone()) {
      end();
    } else {
      broke(fault);
    }
  }

  @Override
  public boolean isRelaying() {
    return relaying;
  }

  @Override
  public void breakOff(FlowAction.Fail failure) {
    String data =
        Replies.problemBody(failure.code(), failure.verdict(), failure.detail()).toString();
    relay.caller().part(text("event: error\ndata: " + data + "\n\n"));
    relay.caller().end();
  }

  @Override
  public double costSoFar() {
    return reader.lastOffset();
  }

  private void headOfResume(Optional<ExchangeFault> fault, boolean isStream) {
    if (fault.isEmpty() && isStream) {
      if (!relaying) {
        startRelaying();
      }
      return;
    }
    relay.exchange().abandon();
    relay.perform(relay.flow().resumeRefused(reader.lastOffset(), relay.now()));
  }

  private void broke(ExchangeFault fault) {
    reader.reconnected();
    relay.perform(relay.flow().streamBroke(fault, reader.lastOffset(), relay.now()));
  }

  private void startRelaying() {
    relaying = true;
    relay.perform(relay.flow().answered());
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
    response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    relay.caller().head(response);
  }

  private void relayEvent(long offset, String data) {
    if (data.contains("\"usage\"")) {
      usage = ModelBody.tokensOf(data.getBytes(StandardCharsets.UTF_8));
    }
    relay.caller().part(text("id: " + idPrefix + offset + "\ndata: " + data + "\n\n"));
  }

  private static ByteBuf text(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }
}
