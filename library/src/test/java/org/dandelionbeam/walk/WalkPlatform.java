package org.dandelionbeam.walk;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dandelionbeam.membership.CompareAndSwapLoop;
import org.dandelionbeam.membership.DomainMark;
import org.dandelionbeam.membership.Roster;

/** The two keys of the fleet in the platform's key-value store, with outages and lost answers. */
final class WalkPlatform {
  private static final long DELAY_NANOS = Duration.ofMillis(2).toNanos();

  final Key<Roster> roster = new Key<>(Roster.empty());
  final Key<List<DomainMark>> marks = new Key<>(List.of());
  boolean up = true;
  boolean answersLost;
  private final WalkFleet fleet;

  WalkPlatform(WalkFleet fleet) {
    this.fleet = fleet;
  }

  void poll(WalkNode node) {
    poll(node, node.membership::rosterLoop, roster, value -> adopt(node));
    poll(
        node,
        node.membership::marksLoop,
        marks,
        value -> node.membership.mergeMarks(value, fleet.now));
    if (up && node.membership.isWatcher()) {
      adopt(node);
    }
  }

  private void adopt(WalkNode node) {
    node.membership.adopt(roster.value, fleet.now);
    node.publish();
  }

  private <V> void poll(
      WalkNode node, Supplier<CompareAndSwapLoop<V>> loop, Key<V> key, Consumer<V> learned) {
    loop.get()
        .nextCall(fleet.now)
        .ifPresent(
            call -> {
              boolean swapped = up && key.apply(call);
              boolean answered = up && !(answersLost && fleet.random.nextBoolean());
              long revision = key.revision;
              V value = key.value;
              fleet.at(
                  fleet.now + DELAY_NANOS,
                  node,
                  () -> {
                    if (!answered) {
                      loop.get().onFailed(fleet.now);
                    } else if (call instanceof CompareAndSwapLoop.Swap<V>) {
                      loop.get().onSwapped(swapped, revision, value, fleet.now);
                    } else {
                      loop.get().onRead(revision, value, fleet.now);
                    }
                    if (answered) {
                      learned.accept(value);
                      node.publish();
                    }
                  });
            });
  }

  static final class Key<V> {
    V value;
    long revision;

    Key(V value) {
      this.value = value;
    }

    boolean apply(CompareAndSwapLoop.Call<V> call) {
      boolean swaps =
          call instanceof CompareAndSwapLoop.Swap<V> swap && swap.expectedRevision() == revision;
      if (swaps) {
        V next = ((CompareAndSwapLoop.Swap<V>) call).value();
        revision++;
        value = next instanceof Roster roster ? cast(roster.atRevision(revision)) : next;
      }
      return swaps;
    }

    @SuppressWarnings("unchecked")
    private V cast(Object next) {
      return (V) next;
    }
  }
}
