package org.dandelionbeam.explain;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dandelionbeam.base.RequestId;

/**
 * Bounded in-memory journal of decisions on requests and on the fleet. The oldest requests and
 * events are evicted first. Thread-safe.
 */
public final class Journal {
  private static final int MAX_REQUESTS = 2_000;
  private static final int MAX_ENTRIES_PER_REQUEST = 32;
  private static final int MAX_EVENTS = 1_000;

  private final InstantSource clock;
  private final Deque<Entry> events = new ArrayDeque<>();
  private final Map<RequestId, List<Entry>> requests =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestId, List<Entry>> eldest) {
          return size() > MAX_REQUESTS;
        }
      };

  private Journal(InstantSource clock) {
    this.clock = clock;
  }

  /**
   * Creates an empty journal.
   *
   * @param clock source of the time of each entry
   * @return the journal
   */
  public static Journal of(InstantSource clock) {
    return new Journal(clock);
  }

  /**
   * Records a decision on a request. Entries above 32 per request are dropped.
   *
   * @param request id of the request
   * @param step short name of the step, such as {@code queued}
   * @param detail one sentence with values; must not contain keys or bodies
   */
  public synchronized void recordRequest(RequestId request, String step, String detail) {
    List<Entry> lines = requests.computeIfAbsent(request, key -> new ArrayList<>());
    if (lines.size() < MAX_ENTRIES_PER_REQUEST) {
      lines.add(new Entry(clock.instant(), step, detail));
    }
  }

  /**
   * Records a decision on the fleet.
   *
   * @param type short name of the event, such as {@code takeover}
   * @param detail one sentence with values
   */
  public synchronized void recordEvent(String type, String detail) {
    if (events.size() == MAX_EVENTS) {
      events.removeFirst();
    }
    events.addLast(new Entry(clock.instant(), type, detail));
  }

  /**
   * Returns the entries of a request.
   *
   * @param request id of the request
   * @return the entries in order, empty if the request is unknown or evicted
   */
  public synchronized List<Entry> entriesOf(RequestId request) {
    return List.copyOf(requests.getOrDefault(request, List.of()));
  }

  /**
   * Returns the entries of the requests whose id starts with a prefix. A caller that supplies an id
   * knows only this prefix, since the router appends a unique suffix.
   *
   * @param idPrefix prefix of the id, or the complete id
   * @return the entries by request, oldest request first
   */
  public synchronized Map<RequestId, List<Entry>> entriesByIdPrefix(String idPrefix) {
    Map<RequestId, List<Entry>> found = new LinkedHashMap<>();
    requests.forEach(
        (request, lines) -> {
          if (request.name().startsWith(idPrefix)) {
            found.put(request, List.copyOf(lines));
          }
        });
    return found;
  }

  /**
   * Returns the recorded decisions on the fleet.
   *
   * @return the most recent events, oldest first
   */
  public synchronized List<Entry> events() {
    return List.copyOf(events);
  }

  /**
   * Decision on a request or on the fleet.
   *
   * @param at time of the decision
   * @param type step of the request or type of the event
   * @param detail one sentence with values
   */
  public record Entry(Instant at, String type, String detail) {}
}
