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
import java.util.Objects;
import java.util.Optional;
import org.dandelionbeam.routing.MemoryBudget;

/**
 * Relays the response of an upstream to the caller.
 *
 * <p>Streams and large responses are forwarded while they arrive. Other responses are buffered
 * until they are complete, as far as there is memory, so that an incomplete one can still be
 * replaced by that of another upstream.
 */
final class ResponseRelay {
  /** Larger responses are forwarded while they arrive. */
  private static final int MAX_BUFFERED_BYTES = 1 << 20;

  private final CallerConnection connection;
  private final HttpDialect dialect;
  private final MemoryBudget memory;
  private HttpResponse head;
  private ByteBuf buffered;
  private int reservedBytes;
  private boolean streams;
  private boolean forwarding;
  private int partCount;
  private final SseEventScanner scanner = new SseEventScanner();
  private Optional<SseEventSplitter> splitter = Optional.empty();

  ResponseRelay(CallerConnection connection, HttpDialect dialect, MemoryBudget memory) {
    this.connection = requireNonNull(connection, "connection");
    this.dialect = requireNonNull(dialect, "dialect");
    this.memory = requireNonNull(memory, "memory");
  }

  /** Forwards complete events only, so that the stream can be resumed at another upstream. */
  void enableResuming() {
    splitter = Optional.of(new SseEventSplitter(scanner));
  }

  /** Tells whether another upstream can continue the response where this one broke off. */
  boolean canResume() {
    return !forwarding || splitter.map(SseEventSplitter::canResume).orElse(false);
  }

  /** Tells whether the caller of a stream that may be resumed has got events. */
  boolean hasSentEvents() {
    return splitter.map(SseEventSplitter::hasForwarded).orElse(false);
  }

  /** Returns the id of the last event that was sent to the caller, empty if there was none. */
  Optional<String> lastEventId() {
    return splitter.flatMap(SseEventSplitter::lastEventId);
  }

  /**
   * Starts the response of an upstream.
   *
   * @param newHead status line and headers
   * @param isStream whether the body is a stream of events, which is forwarded as it arrives
   */
  void start(HttpResponse newHead, boolean isStream) {
    head = newHead;
    streams = isStream;
  }

  /**
   * Tells whether the response of another upstream goes on with the stream that was begun.
   *
   * @param newHead status line and headers of that response
   * @return false if its status or its type of content is another one
   */
  boolean isContinuedBy(HttpResponse newHead) {
    return newHead.status().equals(head.status())
        && Objects.equals(contentType(newHead), contentType(head));
  }

  private static String contentType(HttpResponse response) {
    return response.headers().get(HttpHeaderNames.CONTENT_TYPE);
  }

  int status() {
    return head.status().code();
  }

  /** Tells whether a part of the response was sent to the caller. */
  boolean isForwarding() {
    return forwarding;
  }

  int partCount() {
    return partCount;
  }

  /**
   * Tells whether the upstream broke off a stream although the framing of the response is complete.
   *
   * @param framing how the response ended
   * @return true if the last event is incomplete, or there is no event and no sign of a complete
   *     response but the closed connection
   */
  boolean isBrokenOff(BodyFraming framing) {
    boolean empty = framing == BodyFraming.CLOSE && !scanner.hasEvents();
    return streams && (scanner.isInsideEvent() || empty);
  }

  /** Adds a part of the body; parts of a stream are forwarded at once. */
  void add(ByteBuf part) {
    partCount++;
    if (!forwarding && !tryBuffer(part)) {
      startForwarding();
    }
    if (forwarding) {
      forward(part);
    }
  }

  /** Buffers a part; returns false if it has to be forwarded. */
  private boolean tryBuffer(ByteBuf part) {
    int bytes = part.readableBytes();
    boolean tooLong = bufferedBytes() + bytes > MAX_BUFFERED_BYTES;
    if (streams || tooLong || !memory.tryReserveResponse(bytes)) {
      return false;
    }
    reservedBytes += bytes;
    buffered = buffered == null ? part.alloc().heapBuffer(bytes) : buffered;
    buffered.writeBytes(part);
    return true;
  }

  private void forward(ByteBuf part) {
    if (splitter.isEmpty()) {
      scan(part);
      connection.sendPart(part);
    } else {
      sendEvents(splitter.get().completeEvents(part));
    }
  }

  private void scan(ByteBuf part) {
    if (streams) {
      part.forEachByte(
          next -> {
            scanner.accept(next);
            return true;
          });
    }
  }

  private void sendEvents(ByteBuf events) {
    if (events.isReadable()) {
      connection.sendPart(events);
    }
    events.release();
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

  /**
   * Returns the buffered response, which the caller of this method must send or release.
   *
   * @param framing how the response of the upstream ended
   */
  FullHttpResponse toFullResponse(BodyFraming framing) {
    ByteBuf content = buffered == null ? Unpooled.EMPTY_BUFFER : buffered;
    buffered = null;
    releaseReserved();
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(), content);
    response.headers().set(dialect.callerHeaders(head));
    response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
    if (framing != BodyFraming.NONE) {
      HttpUtil.setContentLength(response, content.readableBytes());
    } else if (HttpUtil.isContentLengthSet(head)) {
      // The length that a body would have, which the caller gets unchanged.
      HttpUtil.setContentLength(response, HttpUtil.getContentLength(head));
    }
    return response;
  }

  private void releaseReserved() {
    memory.release(reservedBytes);
    reservedBytes = 0;
  }

  /** Releases the buffered part of a response that is not delivered. */
  void discard() {
    if (buffered != null) {
      buffered.release();
      buffered = null;
    }
    releaseReserved();
    splitter.ifPresent(SseEventSplitter::startNextUpstream);
  }
}
