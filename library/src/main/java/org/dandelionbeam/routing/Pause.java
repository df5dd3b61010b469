package org.dandelionbeam.routing;

import java.time.Duration;

/**
 * A time in which this process did not run, as it was stopped or its VM was suspended.
 *
 * @param resumedNanos monotonic time of the first event after it
 * @param length its length, as far as a clock tells
 */
public record Pause(long resumedNanos, Duration length) {}
