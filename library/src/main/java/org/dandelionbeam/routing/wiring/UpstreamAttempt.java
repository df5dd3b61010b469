package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.dandelionbeam.routing.InstanceId;
import org.dandelionbeam.routing.UpstreamInstance;

/** One attempt to have a request served by an upstream. Confined to one event loop. */
final class UpstreamAttempt {
  private final UpstreamInstance instance;
  private final UpstreamExchange exchange;
  private final long sentNanos;
  private int status;
  private boolean rejected;
  private boolean outputSeen;
  private long firstOutputNanos;
  private boolean over;

  UpstreamAttempt(UpstreamInstance instance, UpstreamExchange exchange, long sentNanos) {
    this.instance = requireNonNull(instance, "instance");
    this.exchange = requireNonNull(exchange, "exchange");
    this.sentNanos = sentNanos;
  }

  UpstreamInstance instance() {
    return instance;
  }

  InstanceId id() {
    return instance.id();
  }

  /** Records the head of the response. */
  void recordHead(int newStatus, boolean notRun) {
    status = newStatus;
    rejected = notRun || isMisdirected();
  }

  /** Returns the status of the response, 0 if there is none. */
  int status() {
    return status;
  }

  /** Tells whether the upstream has stated that it did not run the request. */
  boolean isRejected() {
    return rejected;
  }

  /** Tells whether another upstream than the expected one has responded. */
  boolean isMisdirected() {
    return status == HttpResponseStatus.MISDIRECTED_REQUEST.code();
  }

  /** Records output of the upstream; returns true if it is the first. */
  boolean recordOutput(long nowNanos) {
    boolean first = !outputSeen;
    if (first) {
      outputSeen = true;
      firstOutputNanos = nowNanos;
    }
    return first;
  }

  /** Returns the time from the send to the first output. */
  long firstOutputDelayNanos() {
    return firstOutputNanos - sentNanos;
  }

  /** Returns the time since the first output, 0 if there was none. */
  long streamNanos(long nowNanos) {
    return outputSeen ? nowNanos - firstOutputNanos : 0;
  }

  /** Stops or resumes reading the response. */
  void setReading(boolean wanted) {
    if (!over) {
      exchange.setReading(wanted);
    }
  }

  /** Tells whether the upstream may still respond. */
  boolean isOpen() {
    return !over && !exchange.hasEnded();
  }

  /** Closes the connection to the upstream, which tells it to stop its work. */
  void abandon() {
    if (!over) {
      exchange.abandon();
    }
  }

  /** Ends the attempt; returns false if it has ended before. */
  boolean end() {
    boolean ends = !over;
    over = true;
    return ends;
  }
}
