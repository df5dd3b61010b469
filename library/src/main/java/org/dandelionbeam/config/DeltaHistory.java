package org.dandelionbeam.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/** Last deltas that led to the revision in force, bounded in number and bytes. */
final class DeltaHistory {
  private static final int MAX_STEPS = 16;
  private static final int MAX_BYTES = 32 << 10;

  private final Deque<ConfigDelta> deltas = new ArrayDeque<>();
  private int bytes;

  /** Adds the step to a newer revision; a gap before it makes the older steps useless. */
  void add(ConfigDelta step) {
    if (!deltas.isEmpty() && deltas.peekLast().to() != step.from()) {
      clear();
    }
    deltas.addLast(step);
    bytes += step.bytes().length;
    while (deltas.size() > MAX_STEPS || bytes > MAX_BYTES) {
      bytes -= deltas.removeFirst().bytes().length;
    }
  }

  void clear() {
    deltas.clear();
    bytes = 0;
  }

  /** Returns the step to the newest revision, empty if it is not known. */
  Optional<ConfigDelta> last() {
    return Optional.ofNullable(deltas.peekLast());
  }

  /** Returns the steps from a revision to the newest one, empty if some are missing. */
  Optional<List<ConfigDelta>> since(long revision) {
    List<ConfigDelta> chain = new ArrayList<>();
    Iterator<ConfigDelta> newestFirst = deltas.descendingIterator();
    while (newestFirst.hasNext()) {
      ConfigDelta step = newestFirst.next();
      chain.add(0, step);
      if (step.from() == revision) {
        return Optional.of(chain);
      }
    }
    return Optional.empty();
  }
}
