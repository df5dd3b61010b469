package org.dandelionbeam.store;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value service: compare-and-swap, leases and watches.
 *
 * <p>A future fails with a {@link org.dandelionbeam.base.FleetException} of code {@code
 * STORE_UNAVAILABLE} when the service does not answer; its verdict is {@code MAY_HAVE_RUN} if a
 * write may have taken effect. Every call and every waiting watch counts against the rates of the
 * service.
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
   * @return whether the write took effect, with the value now in force
   */
  CompletableFuture<SwapResult> compareAndSwap(String key, long expectedRevision, byte[] value);

  /**
   * Waits until a key has a revision above a given one.
   *
   * @param key the key
   * @param afterRevision revision that the caller knows
   * @param timeout longest wait
   * @return the newer value, or the known revision with an empty value when the wait ends
   */
  CompletableFuture<Versioned> watch(String key, long afterRevision, Duration timeout);

  /**
   * Takes or renews a lease on a name.
   *
   * @param name name of the lease
   * @param holder who wants it
   * @param length how long it holds
   * @return the holder now, and the fencing number of its lease
   */
  CompletableFuture<Lease> lease(String name, String holder, Duration length);

  /**
   * Value of a key with its revision.
   *
   * @param revision grows with each write of the key; 0 means absent
   * @param value the bytes; callers must not change them
   */
  record Versioned(long revision, byte[] value) {}

  /**
   * Outcome of a compare-and-swap.
   *
   * @param swapped whether this call's value is in force
   * @param current the value in force after the call
   */
  record SwapResult(boolean swapped, Versioned current) {}

  /**
   * A lease as the service answered it.
   *
   * @param holder who holds the lease now
   * @param fencing number that grows each time the holder changes
   * @param length how long the lease holds from the moment the request was sent
   */
  record Lease(String holder, long fencing, Duration length) {}
}
