package org.dandelionbeam.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;

/**
 * The starts of upstreams that leave or are gone, according to the store, to their responses or to
 * other routers. What one router knows reaches all of them with their reports, so that none depends
 * on its own calls to the store. Not thread-safe.
 */
public final class UpstreamDepartures {
  /** Longer than an upstream serves after it has left. */
  private static final Duration MEMORY = Duration.ofSeconds(120);

  /** Longer than entries that the store gives out may be old. */
  private static final Duration SHARED_TIME = Duration.ofSeconds(10);

  private final Map<Integer, Known> known = new HashMap<>();
  private List<Heard> heard = new ArrayList<>();

  UpstreamDepartures() {}

  private record Known(long revision, long sinceNanos) {
    boolean isOlderThan(Duration age, long nowNanos) {
      return nowNanos - sinceNanos > age.toNanos();
    }
  }

  /**
   * A departure that another router has told.
   *
   * @param start number of the start
   * @param departure the departure
   */
  public record Heard(int start, Departure departure) {}

  /**
   * Records that a start of an upstream has said in a response that it leaves. It gets no more
   * requests, whatever its entries say.
   *
   * @param start number of the start
   * @param nowNanos monotonic time
   * @return true if this was not known
   */
  boolean recordAnnouncement(int start, long nowNanos) {
    return record(start, Departure.FINAL, nowNanos);
  }

  /**
   * Records that the entry of a start drains or is gone.
   *
   * @param start number of the start
   * @param revision revision of the store as of which it is so
   * @param nowNanos monotonic time
   * @return true if this was not known
   */
  boolean recordEntry(int start, long revision, long nowNanos) {
    return record(start, revision, nowNanos);
  }

  private boolean record(int start, long revision, long sinceNanos) {
    Known before = known.get(start);
    if (before != null && before.revision >= revision) {
      return false;
    }
    known.put(start, new Known(revision, sinceNanos));
    return true;
  }

  /**
   * Records what another router knows. Revisions of another era of the store say nothing.
   *
   * @param report departures that the other router knows
   * @param era era of the store as known to this router
   * @param isTracked tells whether a start has an entry
   * @param nowNanos monotonic time
   * @return true if any of them was not known
   */
  boolean recordReport(DepartureReport report, long era, IntPredicate isTracked, long nowNanos) {
    boolean anyNew = false;
    for (Map.Entry<Integer, Departure> told : report.departures().entrySet()) {
      int start = told.getKey();
      Departure departure = told.getValue();
      boolean counts = departure.isFinal() || report.era() == era;
      boolean mayServe = isTracked.test(start) || departure.age().compareTo(MEMORY) < 0;
      long sinceNanos = nowNanos - departure.age().toNanos();
      if (counts && mayServe && record(start, departure.revision(), sinceNanos)) {
        heard.add(new Heard(start, departure));
        anyNew = true;
      }
    }
    return anyNew;
  }

  /**
   * Returns what other routers have told since the last call, for the log.
   *
   * @return departures that were not known
   */
  public List<Heard> takeHeard() {
    List<Heard> taken = heard;
    heard = new ArrayList<>();
    return taken;
  }

  /**
   * Tells whether a start gets no more requests.
   *
   * @param start number of the start
   * @param entryRevision revision of its entry as known to this router
   * @return false if no departure is known, or the entry is later
   */
  boolean hasLeft(int start, long entryRevision) {
    Known departure = known.get(start);
    return departure != null && departure.revision > entryRevision;
  }

  /**
   * Tells whether a start has said in a response that it leaves.
   *
   * @param start number of the start
   * @return false if only its entry tells so, or nothing
   */
  public boolean hasAnnounced(int start) {
    Known departure = known.get(start);
    return departure != null && departure.revision == Departure.FINAL;
  }

  /**
   * Returns what other routers may not know yet: what the store tells is soon known to all.
   *
   * @param era era of the store as known to this router
   * @param nowNanos monotonic time
   * @return the departures to be reported
   */
  public DepartureReport report(long era, long nowNanos) {
    Map<Integer, Departure> shared = new HashMap<>();
    known.forEach(
        (start, departure) -> {
          boolean isFinal = departure.revision == Departure.FINAL;
          if (isFinal || !departure.isOlderThan(SHARED_TIME, nowNanos)) {
            Duration age = Duration.ofNanos(Math.max(0, nowNanos - departure.sinceNanos));
            shared.put(start, new Departure(departure.revision, age));
          }
        });
    return new DepartureReport(era, shared);
  }

  /** Forgets what the store said before it was restored, as its revisions are given out again. */
  void forgetRevisions() {
    known.values().removeIf(departure -> departure.revision != Departure.FINAL);
  }

  /**
   * Forgets the starts that are gone for long. One that is still listed never serves again.
   *
   * @param isTracked tells whether a start has an entry
   * @param nowNanos monotonic time
   */
  void forgetOld(IntPredicate isTracked, long nowNanos) {
    known
        .entrySet()
        .removeIf(
            departure ->
                departure.getValue().isOlderThan(MEMORY, nowNanos)
                    && !isTracked.test(departure.getKey()));
  }
}
