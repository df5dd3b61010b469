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
final class AnswerDelivery {
  /** A larger answer is passed on while it arrives. */
  private static final int MAX_BUFFERED_BYTES = 1 << 20;

  private final CallerSession session;
  private final HttpDialect dialect;
  private HttpResponse head;
  private ByteBuf buffered;
  private boolean relaying;
  private int parts;
  private Optional<EventSplitter> splitter = Optional.empty();

  AnswerDelivery(CallerSession session, HttpDialect dialect) {
    this.session = requireNonNull(session, "session");
    this.dialect = requireNonNull(dialect, "dialect");
  }

  /** Passes on whole events only, so that the stream may go on at another upstream. */
  void splitEvents() {
    splitter = Optional.of(new EventSplitter());
  }

  /** Tells whether another upstream can take up the answer where this one broke off. */
  boolean canContinue() {
    return !relaying || splitter.map(EventSplitter::canContinue).orElse(false);
  }

  /** Returns the id of the last event that the caller got, empty if it got none. */
  Optional<String> lastEventId() {
    return splitter.flatMap(EventSplitter::lastId);
  }

  /** Starts with the head of an upstream's answer. */
  void begin(HttpResponse newHead) {
    head = newHead;
  }

  int status() {
    return head.status().code();
  }

  /** Tells whether the caller has got a part of the answer. */
  boolean isRelaying() {
    return relaying;
  }

  int parts() {
    return parts;
  }

  /** Takes a part; a stream's parts are passed on at once. */
  void add(ByteBuf part, boolean streams) {
    parts++;
    boolean tooLong = bufferedBytes() + part.readableBytes() > MAX_BUFFERED_BYTES;
    if (!relaying && (streams || tooLong)) {
      startRelay();
    }
    if (relaying) {
      relay(part);
    } else {
      buffered = buffered == null ? part.alloc().heapBuffer(part.readableBytes()) : buffered;
      buffered.writeBytes(part);
    }
  }

  private void relay(ByteBuf part) {
    if (splitter.isEmpty()) {
      session.answerPart(part);
    } else {
      passOn(splitter.get().wholeEvents(part));
    }
  }

  private void passOn(ByteBuf events) {
    if (events.isReadable()) {
      session.answerPart(events);
    }
    events.release();
  }

  /** Passes on what is left of a stream that is whole. */
  void addRest() {
    splitter.ifPresent(events -> passOn(events.rest()));
  }

  private int bufferedBytes() {
    return buffered == null ? 0 : buffered.readableBytes();
  }

  private void startRelay() {
    relaying = true;
    HttpResponse answer =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status(), dialect.callerHeaders(head));
    answer.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    answer.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    session.answerHead(answer);
    if (buffered != null) {
      relay(buffered);
      drop();
    }
  }

  /** Returns the whole answer, which the receiver must send or release. */
  FullHttpResponse whole() {
    ByteBuf content = buffered == null ? Unpooled.EMPTY_BUFFER : buffered;
    buffered = null;
    FullHttpResponse answer =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(), content);
    answer.headers().set(dialect.callerHeaders(head));
    answer.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
    HttpUtil.setContentLength(answer, content.readableBytes());
    return answer;
  }

  /** Releases what was kept of an answer that is not delivered. */
  void drop() {
    if (buffered != null) {
      buffered.release();
      buffered = null;
    }
    splitter.ifPresent(EventSplitter::dropPartialEvent);
  }
}
