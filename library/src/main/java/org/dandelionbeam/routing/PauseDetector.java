package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.Optional;

/**
 * Detects that this process did not run for a while, so that other routers may have taken over its
 * tasks. Not thread-safe.
 *
 * <p>The monotonic clock stands still while a VM is suspended, but runs on while only the process
 * is stopped; the time of day runs on in both cases.
 */
final class PauseDetector {
  /** Events follow each other within a fraction of this time, as there are periodic ones. */
  private static final Duration MIN_PAUSE = Duration.ofMillis(700);

  /** Further than this, the time of day does not drift in the time between two events. */
  private static final Duration MIN_CLOCK_DIFFERENCE = Duration.ofMillis(350);

  private boolean started;
  private long lastNanos;
  private long lastWallMillis;
  private Optional<Pause> lastPause = Optional.empty();

  /** Records an event, and with it a pause if the last event was too long ago. */
  void recordEvent(long nowNanos, long wallMillis) {
    if (started) {
      long elapsedMillis = Duration.ofNanos(nowNanos - lastNanos).toMillis();
      long wallElapsedMillis = wallMillis - lastWallMillis;
      if (elapsedMillis >= MIN_PAUSE.toMillis()
          || wallElapsedMillis - elapsedMillis >= MIN_CLOCK_DIFFERENCE.toMillis()) {
        Duration length = Duration.ofMillis(Math.max(elapsedMillis, wallElapsedMillis));
        lastPause = Optional.of(new Pause(nowNanos, length));
      }
    }
    started = true;
    lastNanos = nowNanos;
    lastWallMillis = wallMillis;
  }

  /** Tells whether the process has run without a pause for some time. */
  boolean hasRunFor(Duration time, long nowNanos) {
    return lastPause.map(pause -> nowNanos - pause.resumedNanos() >= time.toNanos()).orElse(true);
  }

  /** Returns the last pause, empty if there was none. */
  Optional<Pause> lastPause() {
    return lastPause;
  }
}
