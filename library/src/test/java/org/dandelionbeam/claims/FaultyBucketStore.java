package org.dandelionbeam.claims;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Buckets on the platform, whose calls are carried out one by one with a chosen fault. */
final class FaultyBucketStore {
  private final Map<Integer, ClaimBucket> values = new HashMap<>();
  private final Map<Integer, ClaimBucket> previous = new HashMap<>();
  private final List<Runnable> lateWrites = new ArrayList<>();
  private int writes;

  /** What happens to a call. */
  enum Fault {
    NONE,
    LOST_BEFORE_EFFECT,
    LOST_AFTER_EFFECT,
    LOST_AND_EFFECT_LATER,
    CONFLICT,
    LAGGING_READ
  }

  /** Carries a call out and returns what its node does next. */
  List<ClaimAction> perform(ClaimCoordinator book, ClaimAction call, Fault fault, ClaimTime now) {
    if (call instanceof ClaimAction.Read read) {
      return read(book, read, fault, now);
    }
    return swap(book, (ClaimAction.Swap) call, fault, now);
  }

  /** Lets the writes land whose nodes were told of a failure long ago. */
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
      ClaimCoordinator book, ClaimAction.Read read, Fault fault, ClaimTime now) {
    return switch (fault) {
      case LOST_BEFORE_EFFECT, LOST_AFTER_EFFECT, LOST_AND_EFFECT_LATER ->
          book.failed(read.bucket(), read.call(), now);
      case LAGGING_READ -> {
        ClaimBucket seen = previous.getOrDefault(read.bucket(), new ClaimBucket(0, List.of()));
        yield book.read(read.bucket(), read.call(), seen, now);
      }
      default -> book.read(read.bucket(), read.call(), value(read.bucket()), now);
    };
  }

  private List<ClaimAction> swap(
      ClaimCoordinator book, ClaimAction.Swap swap, Fault fault, ClaimTime now) {
    switch (fault) {
      case LOST_BEFORE_EFFECT -> {
        return book.failed(swap.bucket(), swap.call(), now);
      }
      case LOST_AFTER_EFFECT -> {
        write(swap);
        return book.failed(swap.bucket(), swap.call(), now);
      }
      case LOST_AND_EFFECT_LATER -> {
        lateWrites.add(() -> write(swap));
        return book.failed(swap.bucket(), swap.call(), now);
      }
      case CONFLICT -> put(swap.bucket(), value(swap.bucket()).entries());
      default -> {}
    }
    boolean swapped = write(swap);
    return book.swapped(swap.bucket(), swap.call(), swapped, value(swap.bucket()), now);
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
