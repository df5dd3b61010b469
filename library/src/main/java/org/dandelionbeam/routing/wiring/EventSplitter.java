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
final class EventSplitter {
  /** Longer events are passed on in pieces, and their stream can't be continued. */
  private static final int MAX_EVENT_BYTES = 64 << 10;

  private static final byte LINE_END = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final String ID_FIELD = "id:";

  private final ByteBuf held = Unpooled.buffer();
  private String lastId;
  private boolean cut;
  private boolean passedOn;

  /**
   * Takes bytes of the stream.
   *
   * @param part the bytes
   * @return the whole events that are there now, maybe none; the receiver must release them
   */
  ByteBuf wholeEvents(ByteBuf part) {
    held.discardReadBytes();
    held.writeBytes(part, part.readerIndex(), part.readableBytes());
    int length = lengthOfWholeEvents();
    if (length == 0 && held.readableBytes() > MAX_EVENT_BYTES) {
      cut = true;
      length = held.readableBytes();
    }
    passedOn |= length > 0;
    return held.readBytes(length);
  }

  /** Returns what follows the last whole event of a stream that ended; must be released. */
  ByteBuf rest() {
    return held.readBytes(held.readableBytes());
  }

  /** Drops the beginning of an event whose upstream broke off. */
  void dropPartialEvent() {
    held.clear();
  }

  /** Tells whether what was passed on ends after an event whose id is known, or is nothing. */
  boolean canContinue() {
    return !cut && (lastId != null || !passedOn);
  }

  /** Returns the id of the last whole event, empty if there was none. */
  Optional<String> lastId() {
    return Optional.ofNullable(lastId);
  }

  /** Events end with an empty line. */
  private int lengthOfWholeEvents() {
    int start = held.readerIndex();
    int whole = 0;
    String id = null;
    int line = start;
    int end = held.indexOf(line, held.writerIndex(), LINE_END);
    while (end >= 0) {
      int contentEnd = end > line && held.getByte(end - 1) == CARRIAGE_RETURN ? end - 1 : end;
      String text = held.toString(line, contentEnd - line, StandardCharsets.UTF_8);
      if (text.startsWith(ID_FIELD)) {
        id = text.substring(ID_FIELD.length()).trim();
      }
      if (text.isEmpty()) {
        whole = end + 1 - start;
        lastId = id == null ? lastId : id;
      }
      line = end + 1;
      end = held.indexOf(line, held.writerIndex(), LINE_END);
    }
    return whole;
  }
}
