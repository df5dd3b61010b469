package org.dandelionbeam.routing;

import java.util.Map;

/**
 * Departures of upstreams that one router tells another.
 *
 * @param era number of restorations of the store, to which the revisions belong
 * @param departures departures by number of the start
 */
public record DepartureReport(long era, Map<Integer, Departure> departures) {
  /** A report without departures. */
  public static final DepartureReport NONE = new DepartureReport(0, Map.of());

  /** Copies the departures. */
  public DepartureReport {
    departures = Map.copyOf(departures);
  }
}
