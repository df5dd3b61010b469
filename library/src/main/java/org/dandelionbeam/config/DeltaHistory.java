package org.dandelionbeam.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/** Most recent deltas that led to the revision in force, bounded in number and bytes. */
final class DeltaHistory {
  private static final int MAX_DELTAS = 16;
  private static final int MAX_BYTES = 32 << 10;

  private final Deque<ConfigDelta> deltas = new ArrayDeque<>();
  private int bytes;

  /**
   * Adds the delta to a newer revision; drops the older deltas if it does not start where they end.
   */
  void add(ConfigDelta delta) {
    if (!deltas.isEmpty() && deltas.peekLast().to() != delta.from()) {
      clear();
    }
    deltas.addLast(delta);
    bytes += delta.bytes().length;
    while (deltas.size() > MAX_DELTAS || bytes > MAX_BYTES) {
      bytes -= deltas.removeFirst().bytes().length;
    }
  }

  void clear() {
    deltas.clear();
    bytes = 0;
  }

  /** Returns the delta to the newest revision, empty if it is not known. */
  Optional<ConfigDelta> last() {
    return Optional.ofNullable(deltas.peekLast());
  }

  /** Returns the deltas from a revision to the newest one, empty if some are missing. */
  Optional<List<ConfigDelta>> since(long revision) {
    List<ConfigDelta> chain = new ArrayList<>();
    Iterator<ConfigDelta> newestFirst = deltas.descendingIterator();
    while (newestFirst.hasNext()) {
      ConfigDelta delta = newestFirst.next();
      chain.add(0, delta);
      if (delta.from() == revision) {
        return Optional.of(chain);
      }
    }
    return Optional.empty();
  }
}
