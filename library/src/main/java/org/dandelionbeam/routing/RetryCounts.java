package org.dandelionbeam.routing;

/**
 * Requests and retries of one service within the window of the retry budget.
 *
 * @param requests requests of callers
 * @param retries attempts beyond the first of a request
 */
public record RetryCounts(long requests, long retries) {

  /** No requests. */
  public static final RetryCounts NONE = new RetryCounts(0, 0);

  /**
   * Adds other counts.
   *
   * @param other counts to add
   * @return the sum
   */
  public RetryCounts plus(RetryCounts other) {
    return new RetryCounts(requests + other.requests, retries + other.retries);
  }

  /**
   * Subtracts counts that are part of these.
   *
   * @param part counts to subtract
   * @return the difference, never less than 0
   */
  public RetryCounts minus(RetryCounts part) {
    return new RetryCounts(
        Math.max(0, requests - part.requests), Math.max(0, retries - part.retries));
  }
}
