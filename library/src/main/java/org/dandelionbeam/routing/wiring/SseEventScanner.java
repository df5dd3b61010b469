package org.dandelionbeam.routing.wiring;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Finds the ends of server-sent events in a stream of bytes. An event ends with an empty line;
 * lines end with LF, CR or both.
 */
final class SseEventScanner {
  /** Ids of events are short numbers; a longer one is not kept. */
  private static final int MAX_ID_LINE_BYTES = 128;

  private static final byte LINE_FEED = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final String ID_FIELD = "id:";

  private final byte[] line = new byte[MAX_ID_LINE_BYTES];
  private int lineLength;
  private boolean insideEvent;
  private boolean afterCarriageReturn;
  private boolean hasEvents;
  private String eventId;
  private String lastEventId;

  /**
   * Scans one byte of the stream.
   *
   * @param next the byte
   * @return whether an event ends with it
   */
  boolean accept(byte next) {
    boolean endsPair = afterCarriageReturn && next == LINE_FEED;
    afterCarriageReturn = next == CARRIAGE_RETURN;
    if (endsPair) {
      return !insideEvent;
    }
    if (next == LINE_FEED || next == CARRIAGE_RETURN) {
      return endLine();
    }
    insideEvent = true;
    if (lineLength < MAX_ID_LINE_BYTES) {
      line[lineLength] = next;
    }
    lineLength++;
    return false;
  }

  private boolean endLine() {
    if (lineLength == 0) {
      lastEventId = eventId == null ? lastEventId : eventId;
      eventId = null;
      insideEvent = false;
      hasEvents = true;
      return true;
    }
    readId();
    lineLength = 0;
    return false;
  }

  private void readId() {
    if (lineLength <= MAX_ID_LINE_BYTES) {
      String text = new String(line, 0, lineLength, StandardCharsets.UTF_8);
      if (text.startsWith(ID_FIELD)) {
        eventId = text.substring(ID_FIELD.length()).trim();
      }
    }
  }

  /** Tells whether bytes have arrived since the last event ended. */
  boolean isInsideEvent() {
    return insideEvent;
  }

  /** Tells whether any event of the current upstream is complete. */
  boolean hasEvents() {
    return hasEvents;
  }

  /** Returns the id of the last complete event that has one, empty if there was none. */
  Optional<String> lastEventId() {
    return Optional.ofNullable(lastEventId);
  }

  /** Forgets an incomplete event; the next byte starts the first event of another upstream. */
  void startNextUpstream() {
    hasEvents = false;
    lineLength = 0;
    insideEvent = false;
    afterCarriageReturn = false;
    eventId = null;
  }
}
