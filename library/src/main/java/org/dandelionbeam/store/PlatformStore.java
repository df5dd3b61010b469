package org.dandelionbeam.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value store, with compare-and-swap, leases and watches.
 *
 * <p>A future fails with a {@link org.dandelionbeam.base.FleetException} of code {@code
 * STORE_UNAVAILABLE} if the store does not answer; its verdict is {@code MAY_HAVE_RUN} if a write
 * may have taken effect. The store limits the rate of calls; every call and every open watch counts
 * against this limit.
 */
public interface PlatformStore {

  /**
   * Reads a key.
   *
   * @param key the key
   * @return the value with its revision; revision 0 and an empty value if the key is absent
   */
  CompletableFuture<Versioned> read(String key);

  /**
   * Writes a key if its revision is still the expected one.
   *
   * @param key the key
   * @param expectedRevision revision that was read, 0 if the key must be absent
   * @param value the new value, at most 1 MiB
   * @return whether the write took effect, and the value that is stored after the call
   */
  CompletableFuture<SwapResult> compareAndSwap(String key, long expectedRevision, byte[] value);

  /**
   * Waits until the revision of a key exceeds a given one.
   *
   * @param key the key
   * @param afterRevision revision that the caller knows
   * @param timeout longest wait
   * @return the newer value; after the timeout the known revision with an empty value
   */
  CompletableFuture<Versioned> watch(String key, long afterRevision, Duration timeout);

  /**
   * Acquires or renews a lease.
   *
   * @param name name of the lease
   * @param holder identifier of the caller that requests the lease
   * @param length how long the lease is to be valid
   * @return the current holder with its fencing number; another holder if the lease is taken
   */
  CompletableFuture<Lease> lease(String name, String holder, Duration length);

  /**
   * Value of a key with its revision.
   *
   * @param revision number that grows with each write of the key; 0 if the key is absent
   * @param value bytes of the value; must not be modified
   */
  record Versioned(long revision, byte[] value) {}

  /**
   * Result of a compare-and-swap.
   *
   * @param swapped whether the write took effect
   * @param current value that is stored after the call
   */
  record SwapResult(boolean swapped, Versioned current) {}

  /**
   * State of a lease, as the store reported it.
   *
   * @param holder identifier of the current holder
   * @param fencing fencing number, which grows each time the holder changes
   * @param length how long the lease is valid, counted from the sending of the request
   */
  record Lease(String holder, long fencing, Duration length) {}
}
