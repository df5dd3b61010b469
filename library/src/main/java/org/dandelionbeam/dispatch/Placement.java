package org.dandelionbeam.dispatch;

import java.time.Duration;
import org.dandelionbeam.base.NodeId;

/** Ticket that an entry sent to one owner. */
final class Placement {
  static final int MAX_ASKS = 3;
  private static final long MIN_REPEAT_INTERVAL_NANOS = Duration.ofMillis(250).toNanos();
  private static final long MIN_REFRESH_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();
  private static final long MAX_REFRESH_INTERVAL_NANOS = Duration.ofSeconds(40).toNanos();

  final long number;
  final NodeId owner;
  final WaitingTicket ticket;
  private int asks;
  private boolean acknowledged;
  private long dueNanos;
  private long refreshIntervalNanos = MIN_REFRESH_INTERVAL_NANOS;

  Placement(long number, NodeId owner, WaitingTicket ticket) {
    this.number = number;
    this.owner = owner;
    this.ticket = ticket;
  }

  /** Counts a message to the owner and returns the time at which to repeat it. */
  long asked(long nowNanos) {
    dueNanos = nowNanos + (MIN_REPEAT_INTERVAL_NANOS << asks);
    asks++;
    return dueNanos;
  }

  /** Records that the owner queued the ticket and returns the time at which to send it again. */
  long acknowledged(long nowNanos) {
    refreshIntervalNanos =
        acknowledged
            ? Math.min(2 * refreshIntervalNanos, MAX_REFRESH_INTERVAL_NANOS)
            : refreshIntervalNanos;
    acknowledged = true;
    asks = 0;
    dueNanos = nowNanos + refreshIntervalNanos;
    return dueNanos;
  }

  boolean isDue(long nowNanos) {
    return dueNanos - nowNanos <= 0;
  }

  boolean isUnanswered() {
    return asks >= MAX_ASKS;
  }
}
