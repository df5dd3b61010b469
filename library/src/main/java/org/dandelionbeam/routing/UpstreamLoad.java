package org.dandelionbeam.routing;

/**
 * Unfinished work that routers have sent to an upstream.
 *
 * @param inFlight requests in flight
 * @param prefillTokens prompt tokens that the engine has yet to prefill before the first output of
 *     these requests
 * @param memoryTokens tokens that these requests occupy in the engine's memory
 */
public record UpstreamLoad(int inFlight, long prefillTokens, long memoryTokens) {

  /** No load. */
  public static final UpstreamLoad NONE = new UpstreamLoad(0, 0, 0);

  /**
   * Adds another load.
   *
   * @param other load to add
   * @return the sum
   */
  public UpstreamLoad plus(UpstreamLoad other) {
    return new UpstreamLoad(
        inFlight + other.inFlight,
        prefillTokens + other.prefillTokens,
        memoryTokens + other.memoryTokens);
  }
}
