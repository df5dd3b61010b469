package org.dandelionbeam.dispatch;

import java.time.Duration;
import org.dandelionbeam.base.UpstreamId;

/** Slot of an owned upstream that a granted attempt holds. */
final class HeldSlot implements Comparable<HeldSlot> {
  static final long MIN_REMINDER_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();
  static final long MAX_REMINDER_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();
  static final long UNUSED_TIMEOUT_NANOS = Duration.ofSeconds(4).toNanos();
  private static final long UNCONFIRMED_TIMEOUT_NANOS = 3 * MAX_REMINDER_INTERVAL_NANOS;
  private static final long DEADLINE_MARGIN_NANOS = Duration.ofSeconds(1).toNanos();

  final QueuedTicket ticket;
  final UpstreamId upstream;
  final double estimate;
  final double reportedEstimate;
  final long grantedNanos;
  boolean used;
  boolean orphaned;
  long confirmedNanos;
  long dueNanos;
  private long intervalNanos = MIN_REMINDER_INTERVAL_NANOS;

  HeldSlot(
      QueuedTicket ticket,
      UpstreamId upstream,
      double estimate,
      double reportedEstimate,
      long nowNanos) {
    this.reportedEstimate = reportedEstimate;
    this.ticket = ticket;
    this.upstream = upstream;
    this.estimate = estimate;
    grantedNanos = nowNanos;
    confirmedNanos = nowNanos;
    dueNanos = nowNanos + intervalNanos;
  }

  /**
   * Schedules the next reminder, or the check for reclaiming an unused grant if that comes first;
   * the interval doubles up to a limit.
   */
  void scheduleReminder(long nowNanos) {
    intervalNanos =
        used
            ? MAX_REMINDER_INTERVAL_NANOS
            : Math.min(2 * intervalNanos, MAX_REMINDER_INTERVAL_NANOS);
    dueNanos = nowNanos + intervalNanos;
    long reclaimNanos = grantedNanos + UNUSED_TIMEOUT_NANOS + 1;
    if (!used && reclaimNanos - nowNanos > 0) {
      dueNanos = Math.min(dueNanos, reclaimNanos);
    }
  }

  void confirm(long nowNanos) {
    used = true;
    orphaned = false;
    confirmedNanos = nowNanos;
  }

  /**
   * Tells whether the slot may be reclaimed. An attempt that may run on a cold upstream keeps its
   * slot until no caller can still wait for it: its deadline has passed and its entry no longer
   * confirms it.
   */
  boolean isReclaimable(boolean cold, long nowNanos) {
    boolean pastDeadline = nowNanos - ticket.deadlineNanos() > DEADLINE_MARGIN_NANOS;
    if (pastDeadline && nowNanos - confirmedNanos > UNCONFIRMED_TIMEOUT_NANOS) {
      return true;
    }
    boolean unused = !used && nowNanos - grantedNanos > UNUSED_TIMEOUT_NANOS;
    return !cold && (orphaned || unused);
  }

  @Override
  public int compareTo(HeldSlot other) {
    int byDue = Long.compare(dueNanos, other.dueNanos);
    return byDue != 0 ? byDue : ticket.key().compareTo(other.ticket.key());
  }
}
