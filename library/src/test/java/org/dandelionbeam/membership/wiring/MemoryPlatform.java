package org.dandelionbeam.membership.wiring;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.dandelionbeam.store.PlatformStore;

/** The platform's key-value store in memory. */
final class MemoryPlatform implements PlatformStore {
  private static final byte[] EMPTY = {};

  private final Map<String, Versioned> values = new HashMap<>();
  private final Map<String, List<CompletableFuture<Versioned>>> watches = new HashMap<>();

  @Override
  public synchronized CompletableFuture<Versioned> read(String key) {
    return CompletableFuture.completedFuture(value(key));
  }

  private Versioned value(String key) {
    return values.getOrDefault(key, new Versioned(0, EMPTY));
  }

  @Override
  public synchronized CompletableFuture<SwapResult> compareAndSwap(
      String key, long expectedRevision, byte[] value) {
    boolean swapped = value(key).revision() == expectedRevision;
    if (swapped) {
      values.put(key, new Versioned(expectedRevision + 1, value));
      watches.getOrDefault(key, List.of()).forEach(watch -> watch.complete(value(key)));
      watches.remove(key);
    }
    return CompletableFuture.completedFuture(new SwapResult(swapped, value(key)));
  }

  @Override
  public synchronized CompletableFuture<Versioned> watch(
      String key, long afterRevision, Duration timeout) {
    CompletableFuture<Versioned> watch = new CompletableFuture<>();
    if (value(key).revision() > afterRevision) {
      watch.complete(value(key));
    } else {
      watches.computeIfAbsent(key, name -> new ArrayList<>()).add(watch);
    }
    return watch;
  }

  @Override
  public CompletableFuture<Lease> lease(String name, String holder, Duration length) {
    return CompletableFuture.failedFuture(new UnsupportedOperationException());
  }
}
