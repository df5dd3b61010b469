package org.dandelionbeam.entry;

import static java.util.Objects.requireNonNull;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Cuts a stream of server-sent events into events and keeps their offsets in order: an event that
 * the caller has got is skipped, a missing one breaks the stream.
 */
public final class EventReader {
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

  private EventReader(Sink sink, long lastOffset) {
    this.sink = sink;
    this.lastOffset = lastOffset;
  }

  /**
   * Makes a reader.
   *
   * @param sink gets the events that are new to the caller
   * @param lastOffset last offset that the caller has got, 0 for none
   * @return the reader
   */
  public static EventReader of(Sink sink, long lastOffset) {
    return new EventReader(requireNonNull(sink, "sink"), lastOffset);
  }

  /**
   * Reads a part of the stream.
   *
   * @param part bytes as they came
   * @return false if the stream is broken: an offset is missing or an event is too large
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

  /** Forgets a partly read event; the stream goes on over another connection. */
  public void discardPartialEvent() {
    line.reset();
    data.setLength(0);
    eventOffset = 0;
  }

  /**
   * Returns the last offset that the sink has got.
   *
   * @return 0 before the first event
   */
  public long lastOffset() {
    return lastOffset;
  }

  /**
   * Tells whether the end marker of the stream came.
   *
   * @return true if the stream is whole
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
     * An event that the caller has not got.
     *
     * @param offset its offset
     * @param data its data
     */
    void event(long offset, String data);
  }
}
