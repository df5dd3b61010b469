package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;

/**
 * The answer of one upstream on its way to the caller.
 *
 * <p>Streams and long answers are passed on while they arrive. Others are kept until they are
 * whole, so that a broken one can still be replaced.
 */
final class ResponseRelay {
  /** A larger answer is passed on while it arrives. */
  private static final int MAX_BUFFERED_BYTES = 1 << 20;

  private final CallerConnection connection;
  private final HttpDialect dialect;
  private HttpResponse head;
  private ByteBuf buffered;
  private boolean forwarding;
  private int partCount;
  private Optional<SseEventSplitter> splitter = Optional.empty();

  ResponseRelay(CallerConnection connection, HttpDialect dialect) {
    this.connection = requireNonNull(connection, "connection");
    this.dialect = requireNonNull(dialect, "dialect");
  }

  /** Passes on whole events only, so that the stream may go on at another upstream. */
  void enableResuming() {
    splitter = Optional.of(new SseEventSplitter());
  }

  /** Tells whether another upstream can take up the answer where this one broke off. */
  boolean canResume() {
    return !forwarding || splitter.map(SseEventSplitter::canResume).orElse(false);
  }

  /** Returns the id of the last event that the caller got, empty if it got none. */
  Optional<String> lastEventId() {
    return splitter.flatMap(SseEventSplitter::lastEventId);
  }

  /** Starts with the head of an upstream's answer. */
  void start(HttpResponse newHead) {
    head = newHead;
  }

  int status() {
    return head.status().code();
  }

  /** Tells whether the caller has got a part of the answer. */
  boolean isForwarding() {
    return forwarding;
  }

  int partCount() {
    return partCount;
  }

  /** Takes a part; a stream's parts are passed on at once. */
  void add(ByteBuf part, boolean streams) {
    partCount++;
    boolean tooLong = bufferedBytes() + part.readableBytes() > MAX_BUFFERED_BYTES;
    if (!forwarding && (streams || tooLong)) {
      startForwarding();
    }
    if (forwarding) {
      forward(part);
    } else {
      buffered = buffered == null ? part.alloc().heapBuffer(part.readableBytes()) : buffered;
      buffered.writeBytes(part);
    }
  }

  private void forward(ByteBuf part) {
    if (splitter.isEmpty()) {
      connection.sendPart(part);
    } else {
      sendEvents(splitter.get().completeEvents(part));
    }
  }

  private void sendEvents(ByteBuf events) {
    if (events.isReadable()) {
      connection.sendPart(events);
    }
    events.release();
  }

  /** Passes on what is left of a stream that is whole. */
  void forwardRemainder() {
    splitter.ifPresent(events -> sendEvents(events.remainder()));
  }

  private int bufferedBytes() {
    return buffered == null ? 0 : buffered.readableBytes();
  }

  private void startForwarding() {
    forwarding = true;
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status(), dialect.callerHeaders(head));
    response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    connection.sendHead(response);
    if (buffered != null) {
      forward(buffered);
      discard();
    }
  }

  /** Returns the whole answer, which the receiver must send or release. */
  FullHttpResponse toFullResponse() {
    ByteBuf content = buffered == null ? Unpooled.EMPTY_BUFFER : buffered;
    buffered = null;
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(), content);
    response.headers().set(dialect.callerHeaders(head));
    response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
    HttpUtil.setContentLength(response, content.readableBytes());
    return response;
  }

  /** Releases what was kept of an answer that is not delivered. */
  void discard() {
    if (buffered != null) {
      buffered.release();
      buffered = null;
    }
    splitter.ifPresent(SseEventSplitter::dropPartialEvent);
  }
}
