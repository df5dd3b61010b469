package org.dandelionbeam.config;

import static java.util.Objects.requireNonNull;

/**
 * Kind of request of a service, matched by HTTP method and path.
 *
 * @param name name of the kind, unique in its service
 * @param method HTTP method, or {@code *} for any
 * @param path path below the service; {@code *} matches one segment, a final {@code **} any number
 *     of segments
 * @param idempotent whether a request of this kind may be retried after it may have run
 */
public record RequestKind(String name, String method, String path, boolean idempotent) {

  /** Requires all text components. */
  public RequestKind {
    requireNonNull(name, "name");
    requireNonNull(method, "method");
    requireNonNull(path, "path");
  }

  /**
   * Returns whether a request is of this kind.
   *
   * @param requestMethod HTTP method of the request
   * @param requestPath path below the service, with a leading slash and without the query
   * @return true if method and path match
   */
  public boolean matches(String requestMethod, String requestPath) {
    boolean methodMatches = method.equals("*") || method.equals(requestMethod);
    return methodMatches && pathMatches(requestPath);
  }

  private boolean pathMatches(String requestPath) {
    String[] pattern = path.split("/", -1);
    String[] segments = requestPath.split("/", -1);
    for (int i = 0; i < pattern.length; i++) {
      if (pattern[i].equals("**")) {
        return true;
      }
      if (i >= segments.length || !(pattern[i].equals("*") || pattern[i].equals(segments[i]))) {
        return false;
      }
    }
    return pattern.length == segments.length;
  }
}
