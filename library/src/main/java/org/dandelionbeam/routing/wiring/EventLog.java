package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.MonotonicClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes decisions and changes of state as JSON lines, with limits on the lines per second.
 *
 * <p>Lines about requests have a limit of their own, so that many failing requests don't displace
 * the lines that tell why. Lines above a limit are dropped and counted, and their number is logged
 * in a later second with a line.
 */
public final class EventLog {
  /** Keeps the cost of logging below a few percent of a core, however many requests fail. */
  private static final int MAX_REQUEST_LINES_PER_SECOND = 100;

  /** The store may list all upstreams and routers at once. */
  private static final int MAX_STATE_LINES_PER_SECOND = 150;

  private final Logger logger = LoggerFactory.getLogger("decisions");
  private final JsonFactory json = new JsonFactory();
  private final String router;
  private final MonotonicClock clock;
  private final LineQuota requestLines;
  private final LineQuota stateLines;

  private EventLog(String router, MonotonicClock clock) {
    this.router = requireNonNull(router, "router");
    this.clock = requireNonNull(clock, "clock");
    requestLines = new LineQuota(MAX_REQUEST_LINES_PER_SECOND, clock.nanos());
    stateLines = new LineQuota(MAX_STATE_LINES_PER_SECOND, clock.nanos());
  }

  /**
   * Creates a log.
   *
   * @param router name of this router
   * @param clock clock for the limit
   * @return the log
   */
  public static EventLog of(String router, MonotonicClock clock) {
    return new EventLog(router, clock);
  }

  /**
   * Starts a line about the state of this router or what it believes.
   *
   * @param event what happened, in lower case with underscores
   * @return the line
   */
  public Line line(String event) {
    return new Line(event, stateLines);
  }

  /** Starts a line about a request. */
  Line requestLine(String event) {
    return new Line(event, requestLines);
  }

  /** Logs input of a caller that is not a valid request. */
  void logBadInput(String from, int status, ErrorCode code) {
    requestLine("bad_input").with("from", from).with("status", status).with("code", code).write();
  }

  /**
   * Logs an exception that no caller handles, with the place where it was thrown.
   *
   * @param cause the exception
   */
  public void internalError(RuntimeException cause) {
    StackTraceElement[] trace = cause.getStackTrace();
    line("internal_error")
        .with("cause", cause)
        .with("at", trace.length == 0 ? "unknown" : trace[0])
        .write();
  }

  /**
   * Wraps a task of an event loop, which would drop an exception silently.
   *
   * @param task the task
   * @return a task that logs the exception instead
   */
  public Runnable guarded(Runnable task) {
    requireNonNull(task, "task");
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        internalError(e);
      }
    };
  }

  private boolean tryAdmit(LineQuota quota) {
    boolean admitted = quota.tryTake(clock.nanos());
    long leftOut = quota.takeLeftOut();
    if (leftOut > 0) {
      line("lines_left_out").with("count", leftOut).write();
    }
    return admitted;
  }

  /** Builder of one line; of a line above its limit nothing is built. */
  public final class Line {
    private final boolean admitted;
    private final StringWriter text = new StringWriter();
    private JsonGenerator generator;

    private Line(String event, LineQuota quota) {
      admitted = tryAdmit(quota);
      if (!admitted) {
        return;
      }
      try {
        generator = json.createGenerator(text);
        generator.writeStartObject();
        generator.writeNumberField("time", System.currentTimeMillis());
        generator.writeStringField("router", router);
        generator.writeStringField("event", event);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /**
     * Adds a field.
     *
     * @param name name of the field
     * @param value a number, a boolean, or an object that is written as its string
     * @return this line
     */
    public Line with(String name, Object value) {
      if (!admitted) {
        return this;
      }
      try {
        if (value instanceof Number number) {
          generator.writeNumberField(name, number.longValue());
        } else if (value instanceof Boolean bool) {
          generator.writeBooleanField(name, bool);
        } else {
          generator.writeStringField(name, String.valueOf(value));
        }
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      return this;
    }

    /** Writes the line unless its limit is reached. */
    public void write() {
      if (!admitted) {
        return;
      }
      try {
        generator.writeEndObject();
        generator.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      logger.info("{}", text);
    }
  }
}
