package org.dandelionbeam.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.dandelionbeam.store.PlatformStore.Versioned;

/** Keys, leases and waiting watches of the platform stand-in; not thread-safe. */
final class KeyValueState {
  private static final Versioned ABSENT = new Versioned(0, new byte[0]);

  private final Map<String, Versioned> values = new HashMap<>();
  private final Map<String, Versioned> previous = new HashMap<>();
  private final Map<String, LeaseState> leases = new HashMap<>();
  private final Map<String, List<Watch>> watches = new HashMap<>();
  private long lastRevision;

  /** Returns the current value. */
  Versioned read(String key) {
    return values.getOrDefault(key, ABSENT);
  }

  /** Returns the value before the last write, as a lagging replica does. */
  Versioned readPrevious(String key) {
    return previous.getOrDefault(key, ABSENT);
  }

  /** Writes a key and ends its watches if its revision is the expected one. */
  boolean compareAndSwap(String key, long expectedRevision, byte[] value) {
    Versioned current = read(key);
    if (current.revision() != expectedRevision) {
      return false;
    }
    lastRevision++;
    Versioned next = new Versioned(lastRevision, value);
    previous.put(key, current);
    values.put(key, next);
    List<Watch> waiting = watches.getOrDefault(key, List.of());
    watches.remove(key);
    waiting.forEach(watch -> watch.listener.accept(next));
    return true;
  }

  /** Adds a watch that ends with the next write of the key. */
  Watch watch(String key, Consumer<Versioned> listener) {
    Watch watch = new Watch(key, listener);
    watches.computeIfAbsent(key, absent -> new ArrayList<>()).add(watch);
    return watch;
  }

  /** Removes a watch; returns false if it had already ended. */
  boolean cancel(Watch watch) {
    return watches.getOrDefault(watch.key, new ArrayList<>()).remove(watch);
  }

  /** Returns how many watches wait. */
  int waitingWatches() {
    return watches.values().stream().mapToInt(List::size).sum();
  }

  /** Acquires or renews a lease, or returns the lease that another holder has. */
  LeaseState lease(String name, String holder, long durationNanos, long nowNanos) {
    LeaseState held = leases.get(name);
    boolean free = held == null || held.endsAtNanos - nowNanos <= 0;
    if (!free && !held.holder.equals(holder)) {
      return held;
    }
    boolean renewed = !free;
    long fencing = renewed ? held.fencing : ++lastRevision;
    LeaseState next = new LeaseState(holder, fencing, nowNanos + durationNanos);
    leases.put(name, next);
    return next;
  }

  /** Lease with its holder, fencing number and expiry time. */
  record LeaseState(String holder, long fencing, long endsAtNanos) {}

  /** Waiting watch; equality is identity. */
  static final class Watch {
    private final String key;
    private final Consumer<Versioned> listener;

    private Watch(String key, Consumer<Versioned> listener) {
      this.key = key;
      this.listener = listener;
    }
  }
}
