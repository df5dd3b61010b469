package org.dandelionbeam.config;

import java.time.Duration;

/**
 * Limits on callers' requests.
 *
 * @param maxBodyBytes maximum size of a request body in bytes
 * @param maxHeaderBytes maximum size in bytes of the request line, and of all headers together
 * @param maxOpenPerConnection maximum number of concurrent requests on one connection
 * @param requestDeadline maximum time from the request to the end of its response
 * @param readTimeout maximum pause while the caller sends its request
 * @param retryShare retries allowed, as a fraction of recent successful requests
 */
public record Limits(
    int maxBodyBytes,
    int maxHeaderBytes,
    int maxOpenPerConnection,
    Duration requestDeadline,
    Duration readTimeout,
    double retryShare) {

  private static final int DEFAULT_BODY_BYTES = 1 << 20;
  private static final int DEFAULT_HEADER_BYTES = 16 << 10;
  private static final int DEFAULT_OPEN_PER_CONNECTION = 16;
  private static final double DEFAULT_RETRY_SHARE = 0.1;

  /**
   * Returns the limits that apply where the configuration sets none.
   *
   * @return the default limits
   */
  public static Limits defaults() {
    return new Limits(
        DEFAULT_BODY_BYTES,
        DEFAULT_HEADER_BYTES,
        DEFAULT_OPEN_PER_CONNECTION,
        Duration.ofSeconds(60),
        Duration.ofSeconds(10),
        DEFAULT_RETRY_SHARE);
  }
}
