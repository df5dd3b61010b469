package org.dandelionbeam.scheduling;

import java.time.Duration;
import org.dandelionbeam.routing.LoopTime;

/**
 * What a router knows of one scheduler: whether an answer of it is overdue, and when submissions
 * were last confirmed there. Not thread-safe.
 */
final class SchedulerLink {
  /** A scheduler answers within a few milliseconds unless it is frozen, overloaded or cut off. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(150);

  private static final Duration SYNC_ANSWER_TIMEOUT = Duration.ofMillis(450);

  /** Time for which a scheduler that doesn't answer is avoided. */
  private static final Duration AVOIDANCE = Duration.ofMillis(1_500);

  /** Interval in which submissions are confirmed; a scheduler answers each confirmation. */
  private static final Duration SYNC_INTERVAL = Duration.ofMillis(200);

  private boolean answerExpected;
  private LoopTime expectedSince;
  private Duration answerTimeout = ANSWER_TIMEOUT;
  private boolean avoided;
  private long avoidedUntilNanos;
  private boolean synced;
  private long syncedNanos;
  private long usedNanos;

  void expectAnswer(LoopTime now) {
    usedNanos = now.nanos();
    if (!answerExpected || answerTimeout.equals(SYNC_ANSWER_TIMEOUT)) {
      answerExpected = true;
      expectedSince = now;
      answerTimeout = ANSWER_TIMEOUT;
    }
  }

  void recordSync(LoopTime now, boolean hasAnswer) {
    synced = true;
    syncedNanos = now.nanos();
    usedNanos = now.nanos();
    if (hasAnswer && !answerExpected) {
      answerExpected = true;
      expectedSince = now;
      answerTimeout = SYNC_ANSWER_TIMEOUT;
    }
  }

  boolean isSyncDue(long nowNanos) {
    return !synced || nowNanos - syncedNanos >= SYNC_INTERVAL.toNanos();
  }

  void recordAnswer(long nowNanos) {
    answerExpected = false;
    usedNanos = nowNanos;
  }

  /** Avoids the scheduler if an answer is overdue; returns whether it is. */
  boolean avoidIfSilent(LoopTime now) {
    if (!answerExpected || !expectedSince.isOverdue(answerTimeout, now)) {
      return false;
    }
    answerExpected = false;
    avoided = true;
    avoidedUntilNanos = now.nanos() + AVOIDANCE.toNanos();
    return true;
  }

  boolean isAvoided(long nowNanos) {
    return avoided && nowNanos - avoidedUntilNanos < 0;
  }

  boolean isUnused(long nowNanos) {
    return nowNanos - usedNanos > 2 * AVOIDANCE.toNanos();
  }
}
