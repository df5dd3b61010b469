package org.dandelionbeam.entry;

import static java.util.Objects.requireNonNull;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Parses a stream of server-sent events and checks that their offsets are consecutive. Events that
 * the caller already has are skipped; a gap breaks the stream.
 */
public final class SseEventReader {
  private static final int MAX_EVENT_BYTES = 256 << 10;
  private static final String ID_FIELD = "id:";
  private static final String DATA_FIELD = "data:";
  private static final String END_OF_STREAM = "[DONE]";

  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final StringBuilder data = new StringBuilder();
  private final Sink sink;
  private long lastOffset;
  private long eventOffset;
  private boolean done;

  private SseEventReader(Sink sink, long lastOffset) {
    this.sink = sink;
    this.lastOffset = lastOffset;
  }

  /**
   * Creates a reader.
   *
   * @param sink receives the events that the caller does not have yet
   * @param lastOffset offset of the last event that the caller has received, 0 for none
   * @return the reader
   */
  public static SseEventReader of(Sink sink, long lastOffset) {
    return new SseEventReader(requireNonNull(sink, "sink"), lastOffset);
  }

  /**
   * Parses the next bytes of the stream.
   *
   * @param part bytes as received, split anywhere
   * @return false if the stream is broken: an offset is missing or malformed, or an event is too
   *     large
   */
  public boolean read(byte[] part) {
    for (byte octet : part) {
      if (octet != '\n') {
        line.write(octet);
        if (line.size() + data.length() > MAX_EVENT_BYTES) {
          return false;
        }
      } else if (!endLine()) {
        return false;
      }
    }
    return true;
  }

  /** Discards a partly read event, before the stream continues over another connection. */
  public void discardPartialEvent() {
    line.reset();
    data.setLength(0);
    eventOffset = 0;
  }

  /**
   * Returns the offset of the last event that the caller has received.
   *
   * @return the offset, 0 before the first event
   */
  public long lastOffset() {
    return lastOffset;
  }

  /**
   * Returns whether the end marker of the stream was read.
   *
   * @return true if the stream is complete
   */
  public boolean isDone() {
    return done;
  }

  private boolean endLine() {
    String text = line.toString(StandardCharsets.UTF_8).stripTrailing();
    line.reset();
    if (text.isEmpty()) {
      return endEvent();
    }
    if (text.startsWith(ID_FIELD)) {
      eventOffset = offsetOf(text.substring(ID_FIELD.length()).strip());
    } else if (text.startsWith(DATA_FIELD)) {
      if (data.length() > 0) {
        data.append('\n');
      }
      data.append(text.substring(DATA_FIELD.length()).strip());
    }
    return eventOffset >= 0;
  }

  private static long offsetOf(String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private boolean endEvent() {
    String event = data.toString();
    long offset = eventOffset;
    data.setLength(0);
    eventOffset = 0;
    if (event.isEmpty() || done) {
      return true;
    }
    if (event.equals(END_OF_STREAM)) {
      done = true;
      return true;
    }
    if (offset <= lastOffset) {
      return offset > 0;
    }
    if (offset != lastOffset + 1) {
      return false;
    }
    lastOffset = offset;
    sink.event(offset, event);
    return true;
  }

  /** Receives events in the order of their offsets. */
  @FunctionalInterface
  public interface Sink {

    /**
     * Receives an event that the caller does not have yet.
     *
     * @param offset offset of the event
     * @param data lines of its data fields, joined by line feeds
     */
    void event(long offset, String data);
  }
}
