package org.dandelionbeam.claims;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** In-memory store of buckets; a test performs each call with the fault that it chooses. */
final class FaultyBucketStore {
  private final Map<Integer, ClaimBucket> values = new HashMap<>();
  private final Map<Integer, ClaimBucket> previous = new HashMap<>();
  private final List<Runnable> lateWrites = new ArrayList<>();
  private int writes;

  /** Fault of a call; "effect" is the moment at which a write is stored. */
  enum Fault {
    NONE,
    LOST_BEFORE_EFFECT,
    LOST_AFTER_EFFECT,
    LOST_AND_EFFECT_LATER,
    CONFLICT,
    LAGGING_READ
  }

  /** Performs a call and returns the next actions of its node. */
  List<ClaimAction> perform(
      ClaimCoordinator coordinator, ClaimAction call, Fault fault, ClaimTime now) {
    if (call instanceof ClaimAction.Read read) {
      return read(coordinator, read, fault, now);
    }
    return swap(coordinator, (ClaimAction.Swap) call, fault, now);
  }

  /** Applies the delayed writes, whose nodes have been told that the call failed. */
  void applyLateWrites() {
    List<Runnable> writesToApply = new ArrayList<>(lateWrites);
    lateWrites.clear();
    writesToApply.forEach(Runnable::run);
  }

  ClaimBucket value(int bucket) {
    return values.getOrDefault(bucket, new ClaimBucket(0, List.of()));
  }

  int writes() {
    return writes;
  }

  private List<ClaimAction> read(
      ClaimCoordinator coordinator, ClaimAction.Read read, Fault fault, ClaimTime now) {
    return switch (fault) {
      case LOST_BEFORE_EFFECT, LOST_AFTER_EFFECT, LOST_AND_EFFECT_LATER ->
          coordinator.failed(read.bucket(), read.call(), now);
      case LAGGING_READ -> {
        ClaimBucket seen = previous.getOrDefault(read.bucket(), new ClaimBucket(0, List.of()));
        yield coordinator.read(read.bucket(), read.call(), seen, now);
      }
      default -> coordinator.read(read.bucket(), read.call(), value(read.bucket()), now);
    };
  }

  private List<ClaimAction> swap(
      ClaimCoordinator coordinator, ClaimAction.Swap swap, Fault fault, ClaimTime now) {
    switch (fault) {
      case LOST_BEFORE_EFFECT -> {
        return coordinator.failed(swap.bucket(), swap.call(), now);
      }
      case LOST_AFTER_EFFECT -> {
        write(swap);
        return coordinator.failed(swap.bucket(), swap.call(), now);
      }
      case LOST_AND_EFFECT_LATER -> {
        lateWrites.add(() -> write(swap));
        return coordinator.failed(swap.bucket(), swap.call(), now);
      }
      case CONFLICT -> put(swap.bucket(), value(swap.bucket()).entries());
      default -> {}
    }
    boolean swapped = write(swap);
    return coordinator.swapped(swap.bucket(), swap.call(), swapped, value(swap.bucket()), now);
  }

  private boolean write(ClaimAction.Swap swap) {
    writes++;
    if (value(swap.bucket()).revision() != swap.expectedRevision()) {
      return false;
    }
    put(swap.bucket(), swap.entries());
    return true;
  }

  private void put(int bucket, List<ClaimEntry> entries) {
    ClaimBucket current = value(bucket);
    previous.put(bucket, current);
    values.put(bucket, new ClaimBucket(current.revision() + 1, entries));
  }
}
