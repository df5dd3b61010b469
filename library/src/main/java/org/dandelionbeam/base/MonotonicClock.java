package org.dandelionbeam.base;

/** Source of monotonic time; time-dependent logic takes its {@code now} arguments from it. */
@FunctionalInterface
public interface MonotonicClock {

  /**
   * Returns the time since a fixed but arbitrary origin.
   *
   * @return nanoseconds, which never decrease
   */
  long nanos();

  /**
   * Returns the clock of this process.
   *
   * @return a clock over {@link System#nanoTime()}
   */
  static MonotonicClock system() {
    return System::nanoTime;
  }
}
