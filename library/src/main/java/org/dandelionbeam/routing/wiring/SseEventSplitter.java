package org.dandelionbeam.routing.wiring;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
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

  private static final byte LINE_END = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final String ID_FIELD = "id:";

  private final ByteBuf buffer = Unpooled.buffer();
  private String lastEventId;
  private boolean splitMidEvent;
  private boolean anyForwarded;

  /**
   * Adds bytes of the stream.
   *
   * @param part bytes of the stream
   * @return the events that are complete now, possibly none; the caller must release the buffer
   */
  ByteBuf completeEvents(ByteBuf part) {
    buffer.discardReadBytes();
    buffer.writeBytes(part, part.readerIndex(), part.readableBytes());
    int length = completeEventsLength();
    if (length == 0 && buffer.readableBytes() > MAX_EVENT_BYTES) {
      splitMidEvent = true;
      length = buffer.readableBytes();
    }
    anyForwarded |= length > 0;
    return buffer.readBytes(length);
  }

  /**
   * Returns the bytes after the last complete event of a stream that has ended; the caller must
   * release the buffer.
   */
  ByteBuf remainder() {
    return buffer.readBytes(buffer.readableBytes());
  }

  /** Discards an incomplete event, whose upstream broke off. */
  void dropPartialEvent() {
    buffer.clear();
  }

  /**
   * Tells whether the forwarded bytes end with an event whose id is known, or nothing was
   * forwarded.
   */
  boolean canResume() {
    return !splitMidEvent && (lastEventId != null || !anyForwarded);
  }

  /** Returns the id of the last complete event with an id, empty if there was none. */
  Optional<String> lastEventId() {
    return Optional.ofNullable(lastEventId);
  }

  /** Returns the length of the complete events in the buffer. Events end with an empty line. */
  private int completeEventsLength() {
    int start = buffer.readerIndex();
    int completeLength = 0;
    String id = null;
    int line = start;
    int end = buffer.indexOf(line, buffer.writerIndex(), LINE_END);
    while (end >= 0) {
      int contentEnd = end > line && buffer.getByte(end - 1) == CARRIAGE_RETURN ? end - 1 : end;
      String text = buffer.toString(line, contentEnd - line, StandardCharsets.UTF_8);
      if (text.startsWith(ID_FIELD)) {
        id = text.substring(ID_FIELD.length()).trim();
      }
      if (text.isEmpty()) {
        completeLength = end + 1 - start;
        lastEventId = id == null ? lastEventId : id;
      }
      line = end + 1;
      end = buffer.indexOf(line, buffer.writerIndex(), LINE_END);
    }
    return completeLength;
  }
}
