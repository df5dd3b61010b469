package org.dandelionbeam.routing;

/**
 * Work that routers have sent to an upstream and that is not done.
 *
 * @param inFlight requests without an end
 * @param prefillTokens prompt tokens that the engine has to read before their first output
 * @param memoryTokens tokens that the requests occupy in the engine's memory
 */
public record UpstreamLoad(int inFlight, long prefillTokens, long memoryTokens) {

  /** No work. */
  public static final UpstreamLoad NONE = new UpstreamLoad(0, 0, 0);

  /**
   * Adds the work of another router.
   *
   * @param other its work
   * @return the sum
   */
  public UpstreamLoad plus(UpstreamLoad other) {
    return new UpstreamLoad(
        inFlight + other.inFlight,
        prefillTokens + other.prefillTokens,
        memoryTokens + other.memoryTokens);
  }
}
