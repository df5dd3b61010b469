package org.dandelionbeam.routing;

/**
 * Bytes that a router holds for others: request bodies, and responses that are buffered until they
 * are complete.
 *
 * <p>Both draw on one budget. Responses may only fill half of it, since one that finds no room is
 * forwarded as it arrives and nothing is lost, while a request that finds none has to be refused.
 * Not thread-safe.
 */
public final class MemoryBudget {
  private static final int RESPONSE_DIVISOR = 2;

  private final long maxBytes;
  private long heldBytes;

  private MemoryBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Creates a budget of which nothing is spent.
   *
   * @param maxBytes most bytes that may be held at once
   * @return the budget
   */
  public static MemoryBudget of(long maxBytes) {
    return new MemoryBudget(maxBytes);
  }

  /**
   * Reserves memory for a part of a request.
   *
   * @param bytes size of the part
   * @return false if the budget is spent, so that the request has to be refused
   */
  public boolean tryReserveRequest(int bytes) {
    return tryReserve(bytes, maxBytes);
  }

  /**
   * Reserves memory for a part of a response.
   *
   * @param bytes size of the part
   * @return false if the share of responses is spent, so that it has to be forwarded
   */
  public boolean tryReserveResponse(int bytes) {
    return tryReserve(bytes, maxBytes / RESPONSE_DIVISOR);
  }

  private boolean tryReserve(int bytes, long limit) {
    if (heldBytes + bytes > limit) {
      return false;
    }
    heldBytes += bytes;
    return true;
  }

  /**
   * Gives reserved memory back.
   *
   * @param bytes bytes that are no longer held
   */
  public void release(int bytes) {
    heldBytes -= bytes;
  }

  /**
   * Returns how much is held.
   *
   * @return the number of bytes
   */
  public long heldBytes() {
    return heldBytes;
  }
}
