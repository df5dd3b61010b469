package org.dandelionbeam.claims;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;

/** Node that a test steps: a coordinator, its open calls to the store and its answers. */
final class ClaimNode {
  private static final int BUCKETS = 2;
  private static long lastClaim;

  private final ClaimCoordinator coordinator;
  private final FaultyBucketStore store;
  private final Deque<ClaimAction> calls = new ArrayDeque<>();
  private final Map<Long, ClaimKey> keys = new HashMap<>();
  private final Map<Long, ClaimResult> answers = new HashMap<>();
  private final List<ClaimKey> newlyWon = new ArrayList<>();

  ClaimNode(FaultyBucketStore store, long seed) {
    this.store = store;
    ClaimSettings defaults = ClaimSettings.defaults();
    ClaimSettings settings =
        new ClaimSettings(
            BUCKETS,
            defaults.retention(),
            defaults.claimTimeout(),
            defaults.confirmationTimeout(),
            defaults.maxOutcomeDelay(),
            defaults.maxPending());
    coordinator = ClaimCoordinator.of(settings, new SplittableRandom(seed));
  }

  static ClaimKey key(int number) {
    return ClaimKey.of(TeamId.of(1), ServiceId.of(1), "key-" + number);
  }

  ClaimCoordinator coordinator() {
    return coordinator;
  }

  long claim(ClaimKey key, ClaimTime now) {
    long claim = ++lastClaim;
    keys.put(claim, key);
    accept(coordinator.claim(claim, key, now));
    return claim;
  }

  void tick(ClaimTime now) {
    accept(coordinator.tick(now));
  }

  boolean hasCalls() {
    return !calls.isEmpty();
  }

  /** Performs the oldest open call with a fault. */
  void perform(FaultyBucketStore.Fault fault, ClaimTime now) {
    accept(store.perform(coordinator, calls.remove(), fault, now));
  }

  /** Ticks and performs all calls without faults. */
  void settle(ClaimTime now) {
    tick(now);
    while (hasCalls()) {
      perform(FaultyBucketStore.Fault.NONE, now);
    }
  }

  /** Returns the answer to a claim, or null if there is none yet. */
  ClaimResult answer(long claim) {
    return answers.get(claim);
  }

  /** Returns the keys that were won since the last call of this method. */
  List<ClaimKey> takeNewlyWon() {
    List<ClaimKey> won = new ArrayList<>(newlyWon);
    newlyWon.clear();
    return won;
  }

  private void accept(List<ClaimAction> actions) {
    for (ClaimAction action : actions) {
      if (action instanceof ClaimAction.Answer answer) {
        if (answers.put(answer.claim(), answer.result()) != null) {
          throw new AssertionError("answered twice: " + answer);
        }
        if (answer.result() instanceof ClaimResult.Claimed) {
          newlyWon.add(keys.get(answer.claim()));
        }
      } else {
        calls.add(action);
      }
    }
  }
}
