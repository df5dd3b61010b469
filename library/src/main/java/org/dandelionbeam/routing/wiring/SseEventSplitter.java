package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries and keeps the id of the last complete
 * event.
 *
 * <p>The bytes forwarded to a caller thus always end with a complete event, so that another
 * upstream can resume the stream with the next one.
 */
final class SseEventSplitter {
  /** Longer events are forwarded in pieces, after which the stream can't be resumed. */
  private static final int MAX_EVENT_BYTES = 64 << 10;

  private final SseEventScanner scanner;
  private final ByteBuf buffer = Unpooled.buffer();
  private boolean splitMidEvent;
  private boolean anyForwarded;

  SseEventSplitter(SseEventScanner scanner) {
    this.scanner = requireNonNull(scanner, "scanner");
  }

  /**
   * Adds bytes of the stream.
   *
   * @param part bytes of the stream
   * @return the events that are complete now, possibly none; the caller must release the buffer
   */
  ByteBuf completeEvents(ByteBuf part) {
    buffer.discardReadBytes();
    int length = 0;
    for (int i = part.readerIndex(); i < part.writerIndex(); i++) {
      byte next = part.getByte(i);
      buffer.writeByte(next);
      if (scanner.accept(next)) {
        length = buffer.readableBytes();
      }
    }
    if (length == 0 && buffer.readableBytes() > MAX_EVENT_BYTES) {
      splitMidEvent = true;
      length = buffer.readableBytes();
    }
    anyForwarded |= length > 0;
    return buffer.readBytes(length);
  }

  /** Discards an incomplete event, whose upstream broke off. */
  void startNextUpstream() {
    buffer.clear();
    scanner.startNextUpstream();
  }

  /**
   * Tells whether the forwarded bytes end with an event whose id is known, or nothing was
   * forwarded.
   */
  boolean canResume() {
    return !splitMidEvent && (scanner.lastEventId().isPresent() || !anyForwarded);
  }

  /** Tells whether events were forwarded. */
  boolean hasForwarded() {
    return anyForwarded;
  }

  /** Returns the id of the last complete event with an id, empty if there was none. */
  Optional<String> lastEventId() {
    return scanner.lastEventId();
  }
}
