package org.dandelionbeam.daemon.capacity;

/**
 * Measured cost per unit of size or load, such as bytes per request.
 *
 * @param id name, unique in the file
 * @param value the cost per unit
 * @param unit unit of the value
 * @param range sizes at which it was measured
 * @param fit how the value is computed from the readings
 * @param source command or test that measures it
 */
public record Slope(
    String id, double value, String unit, String range, String fit, String source) {}
