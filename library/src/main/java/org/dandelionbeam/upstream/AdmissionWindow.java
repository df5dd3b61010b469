package org.dandelionbeam.upstream;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.dandelionbeam.dispatch.DispatchPort.Outcome;
import org.dandelionbeam.membership.WindowState;

/**
 * Adaptive concurrency limit of one upstream. It follows the latency that the node which owns the
 * upstream measures, and is corrected by the load reports of the upstream, which lag behind.
 *
 * <p>An upstream is cold after it restarted or could not be reached, while it says so itself, or
 * once it has become much slower than usual. While it is cold, the window stays at the cold limit.
 * It leaves the cold limit, and grows in steps, only as requests complete at their usual latency.
 * An overload stops the growth and reduces the window; a cold start drops it to the cold limit at
 * once. Not thread-safe.
 */
public final class AdmissionWindow {
  private static final double GROWTH_HALT_SLOWNESS = 1.5;
  private static final double OVERLOAD_SLOWNESS = 2.0;
  private static final double LASTING_COLD_SLOWNESS = 3.0;
  private static final double SUDDEN_COLD_SLOWNESS = 4.0;
  private static final double SETTLED_SLOWNESS = 0.8;
  private static final int MIN_COLD_ROUNDS = 2;
  private static final int MIN_COMPLETIONS_WITHOUT_REPORTS = 24;
  private static final double CUT_FACTOR = 0.7;
  private static final double FAST_GROWTH_SHARE = 0.5;
  private static final double SLOW_GROWTH_SHARE = 0.1;
  private static final double QUEUED_OVERLOAD_SHARE = 0.25;
  private static final int MIN_STALL_IN_FLIGHT = 3;
  private static final double STALL_FACTOR = 3.0;

  private final int warmLimit;
  private final int coldLimit;
  private final LatencyMonitor latency = new LatencyMonitor();
  private boolean cold;
  private int limit;
  private int fastGrowthLimit;
  private int inFlight;
  private int peakInFlight;
  private int previousPeak;
  private int otherNodesInFlight;
  private int growthCompletions;
  private boolean reportedCold;
  private boolean reportedQueue;
  private boolean bootKnown;
  private long bootId;
  private int endedSinceCut = LatencyMonitor.LONG_WINDOW;
  private long lastCutNanos = Long.MIN_VALUE;
  private long lastProgressNanos;

  private AdmissionWindow(int warmLimit, int coldLimit, WindowState initial) {
    this.warmLimit = warmLimit;
    this.coldLimit = coldLimit;
    cold = initial.cold();
    limit = cold ? coldLimit : Math.max(1, Math.min(warmLimit, initial.limit()));
    fastGrowthLimit = warmLimit;
  }

  /**
   * Returns the window of an upstream that this node begins to own.
   *
   * @param warmLimit most requests in flight when the upstream is warm, at least 1
   * @param coldLimit most requests in flight while it is cold, from 1 to {@code warmLimit}
   * @param inherited window that the previous owner published; if empty, the upstream counts as
   *     cold
   * @return a window without requests in flight
   * @throws IllegalArgumentException unless {@code 1 <= coldLimit <= warmLimit}
   */
  public static AdmissionWindow of(int warmLimit, int coldLimit, Optional<WindowState> inherited) {
    requireNonNull(inherited, "inherited");
    if (coldLimit < 1 || warmLimit < coldLimit) {
      throw new IllegalArgumentException(
          "need 1 <= coldLimit <= warmLimit, found " + coldLimit + " and " + warmLimit);
    }
    return new AdmissionWindow(
        warmLimit, coldLimit, inherited.orElseGet(() -> new WindowState(true, coldLimit)));
  }

  /**
   * Returns how many requests this node may have in flight at most now.
   *
   * @return a number from 1 to the warm limit; at most the cold limit while the upstream is cold
   */
  public int limit() {
    return Math.max(1, limit - otherNodesInFlight);
  }

  /**
   * Tells whether the upstream counts as cold.
   *
   * @return true until enough requests have completed at their usual latency
   */
  public boolean isCold() {
    return cold;
  }

  /**
   * Returns how many requests this node has in flight.
   *
   * @return the count, which may exceed the limit after the window was reduced
   */
  public int inFlight() {
    return inFlight;
  }

  /**
   * Returns the state to publish to the other nodes that may come to own the upstream.
   *
   * @return whether the upstream is cold, and the limit for the requests of all nodes together
   */
  public WindowState state() {
    return new WindowState(cold, limit);
  }

  /**
   * Records the start of a request.
   *
   * @param nowNanos monotonic time
   */
  public void started(long nowNanos) {
    if (inFlight == 0) {
      lastProgressNanos = nowNanos;
    }
    if (isStalled(nowNanos)) {
      turnCold(nowNanos);
    }
    inFlight++;
    peakInFlight = Math.max(peakInFlight, inFlight);
  }

  /**
   * Records the end of a request and adjusts the window to its outcome and latency.
   *
   * @param outcome how the request ended
   * @param cost measured cost in the unit of the service, 0 if unknown
   * @param firstByteNanos time from the start to the first byte, 0 if none arrived
   * @param elapsedNanos time from the start to the end
   * @param nowNanos monotonic time
   */
  public void ended(
      Outcome outcome, double cost, long firstByteNanos, long elapsedNanos, long nowNanos) {
    boolean windowWasUsed = 2 * inFlight >= limit();
    boolean startedAfterCut = isAfterCut(nowNanos - elapsedNanos);
    inFlight = Math.max(0, inFlight - 1);
    lastProgressNanos = nowNanos;
    endedSinceCut += startedAfterCut && outcome != Outcome.ABANDONED ? 1 : 0;
    switch (requireNonNull(outcome, "outcome")) {
      case ANSWERED -> {
        latency.completed(cost, firstByteNanos, elapsedNanos, nowNanos);
        adjustToSlowness(nowNanos);
        growIfDue(startedAfterCut, windowWasUsed);
      }
      case OVERLOADED -> {
        latency.failed(nowNanos);
        adjustToSlowness(nowNanos);
        cut(nowNanos);
      }
      case BROKEN -> {
        latency.failed(nowNanos);
        adjustToSlowness(nowNanos);
      }
      case UNREACHABLE -> turnCold(nowNanos);
      case ABANDONED -> {
        if (firstByteNanos == 0) {
          latency.abandoned(elapsedNanos, nowNanos);
          adjustToSlowness(nowNanos);
        }
      }
      default -> throw new IllegalArgumentException("unknown outcome " + outcome);
    }
  }

  /**
   * Corrects the window by a load report of the upstream.
   *
   * @param report the load report
   * @param nowNanos monotonic time of its arrival
   */
  public void reported(LoadReport report, long nowNanos) {
    boolean restarted = bootKnown && report.bootId() != bootId;
    bootKnown = true;
    bootId = report.bootId();
    reportedCold = report.cold();
    reportedQueue = report.queued() > 0;
    otherNodesInFlight = Math.max(0, report.inFlight() - Math.max(peakInFlight, previousPeak));
    previousPeak = peakInFlight;
    peakInFlight = inFlight;
    if (restarted || reportedCold) {
      turnCold(nowNanos);
    } else if (report.queued() > QUEUED_OVERLOAD_SHARE * report.inFlight()) {
      cut(nowNanos);
    }
  }

  private void adjustToSlowness(long nowNanos) {
    double shortWindowSlowness = latency.slowness(LatencyMonitor.SHORT_WINDOW);
    double longWindowSlowness = latency.slowness(LatencyMonitor.LONG_WINDOW);
    boolean longWindowIsAfterCut = endedSinceCut >= LatencyMonitor.LONG_WINDOW;
    if (shortWindowSlowness >= SUDDEN_COLD_SLOWNESS
        || longWindowSlowness >= LASTING_COLD_SLOWNESS) {
      turnCold(nowNanos);
    } else if (longWindowIsAfterCut && longWindowSlowness >= OVERLOAD_SLOWNESS) {
      cut(nowNanos);
    }
  }

  /** Tells whether no request has ended for much longer than the longest one usually takes. */
  private boolean isStalled(long nowNanos) {
    return !cold
        && inFlight >= MIN_STALL_IN_FLIGHT
        && nowNanos - lastProgressNanos > STALL_FACTOR * latency.longestTotalNanos();
  }

  private void turnCold(long nowNanos) {
    if (!cold) {
      fastGrowthLimit = warmLimit;
    }
    cold = true;
    limit = coldLimit;
    recordCut(nowNanos);
  }

  /**
   * Reduces the window. Further overloads have no effect until a request that started after the
   * reduction has ended, because the requests before it were sent under the larger window.
   */
  private void cut(long nowNanos) {
    growthCompletions = 0;
    if (cold || endedSinceCut == 0) {
      return;
    }
    limit = Math.max(1, (int) (limit * CUT_FACTOR));
    fastGrowthLimit = limit;
    recordCut(nowNanos);
  }

  private void recordCut(long nowNanos) {
    growthCompletions = 0;
    endedSinceCut = 0;
    lastCutNanos = nowNanos;
  }

  private boolean isAfterCut(long startedNanos) {
    return lastCutNanos == Long.MIN_VALUE || startedNanos - lastCutNanos >= 0;
  }

  /** Counts only requests that started after the last cut: they show what load it bears now. */
  private void growIfDue(boolean startedAfterCut, boolean windowWasUsed) {
    boolean halted =
        reportedCold
            || reportedQueue
            || latency.slowness(LatencyMonitor.SHORT_WINDOW) >= GROWTH_HALT_SLOWNESS;
    if (!startedAfterCut || halted || !windowWasUsed) {
      return;
    }
    growthCompletions++;
    if (cold) {
      leaveColdWhenDue();
    } else if (growthCompletions >= limit && limit < warmLimit) {
      grow();
    }
  }

  /**
   * Leaves the cold state if enough requests completed. An upstream that sends no reports counts as
   * cold for as long as its latency still falls.
   */
  private void leaveColdWhenDue() {
    boolean reportedWarm = bootKnown && !reportedCold;
    int needed = reportedWarm ? LatencyMonitor.SHORT_WINDOW : MIN_COMPLETIONS_WITHOUT_REPORTS;
    boolean settled =
        reportedWarm || latency.slowness(LatencyMonitor.SHORT_WINDOW) >= SETTLED_SLOWNESS;
    if (settled && growthCompletions >= Math.max(needed, MIN_COLD_ROUNDS * coldLimit)) {
      cold = false;
      growthCompletions = 0;
    }
  }

  private void grow() {
    double growth = limit < fastGrowthLimit ? FAST_GROWTH_SHARE : SLOW_GROWTH_SHARE;
    limit = Math.min(warmLimit, limit + Math.max(1, (int) (limit * growth)));
    growthCompletions = 0;
  }
}
