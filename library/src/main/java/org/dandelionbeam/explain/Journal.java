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

/** Bounded log of decisions; the oldest requests and events give way. Safe on any thread. */
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
   * Returns an empty journal.
   *
   * @param clock gives the time of each line
   * @return the journal
   */
  public static Journal of(InstantSource clock) {
    return new Journal(clock);
  }

  /**
   * Notes a decision on a request.
   *
   * @param request the request
   * @param step short name of the step, such as {@code queued}
   * @param detail one sentence with values; no keys and no bodies
   */
  public synchronized void recordRequest(RequestId request, String step, String detail) {
    List<Entry> lines = requests.computeIfAbsent(request, key -> new ArrayList<>());
    if (lines.size() < MAX_ENTRIES_PER_REQUEST) {
      lines.add(new Entry(clock.instant(), step, detail));
    }
  }

  /**
   * Notes a decision on the fleet.
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
   * Returns what was decided on a request.
   *
   * @param request the request
   * @return its lines in order, empty if the request is unknown or forgotten
   */
  public synchronized List<Entry> entriesOf(RequestId request) {
    return List.copyOf(requests.getOrDefault(request, List.of()));
  }

  /**
   * Returns what was decided on the requests whose id starts with a text; a caller knows only the
   * start of an id that it gave itself.
   *
   * @param idPrefix start of the id, or all of it
   * @return the lines by request, in the order of the requests
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
   * Returns the events of the fleet.
   *
   * @return the last events, oldest first
   */
  public synchronized List<Entry> events() {
    return List.copyOf(events);
  }

  /**
   * One decision.
   *
   * @param at when
   * @param type step or type
   * @param detail one sentence with values
   */
  public record Entry(Instant at, String type, String detail) {}
}
