package org.dandelionbeam.claims;

/**
 * Time of an event on both clocks.
 *
 * @param nanos monotonic time in nanoseconds, for timeouts
 * @param epochSeconds wall clock time in seconds since the epoch, for the age of claims
 */
public record ClaimTime(long nanos, long epochSeconds) {}
