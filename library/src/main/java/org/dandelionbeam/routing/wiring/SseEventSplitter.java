package org.dandelionbeam.routing.wiring;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events after whole events, and keeps the id of the last one.
 *
 * <p>What a caller got then always ends with a whole event, so another upstream can go on with the
 * next one.
 */
final class SseEventSplitter {
  /** Longer events are passed on in pieces, and their stream can't be continued. */
  private static final int MAX_EVENT_BYTES = 64 << 10;

  private static final byte LINE_END = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final String ID_FIELD = "id:";

  private final ByteBuf buffer = Unpooled.buffer();
  private String lastEventId;
  private boolean splitMidEvent;
  private boolean anyForwarded;

  /**
   * Takes bytes of the stream.
   *
   * @param part the bytes
   * @return the whole events that are there now, maybe none; the receiver must release them
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

  /** Returns what follows the last whole event of a stream that ended; must be released. */
  ByteBuf remainder() {
    return buffer.readBytes(buffer.readableBytes());
  }

  /** Drops the beginning of an event whose upstream broke off. */
  void dropPartialEvent() {
    buffer.clear();
  }

  /** Tells whether what was passed on ends after an event whose id is known, or is nothing. */
  boolean canResume() {
    return !splitMidEvent && (lastEventId != null || !anyForwarded);
  }

  /** Returns the id of the last whole event, empty if there was none. */
  Optional<String> lastEventId() {
    return Optional.ofNullable(lastEventId);
  }

  /** Events end with an empty line. */
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
