package org.dandelionbeam.config;

import static java.util.Objects.requireNonNull;

/**
 * Kind of request of a service, found by method and path.
 *
 * @param name name of the kind, unique in its service
 * @param method HTTP method, or {@code *} for any
 * @param path path below the service; {@code *} stands for one segment, {@code **} at the end for
 *     any rest
 * @param idempotent whether a request of this kind may be repeated
 */
public record RequestKind(String name, String method, String path, boolean idempotent) {

  /** Checks that all parts are there. */
  public RequestKind {
    requireNonNull(name, "name");
    requireNonNull(method, "method");
    requireNonNull(path, "path");
  }

  /**
   * Tells whether a request is of this kind.
   *
   * @param requestMethod HTTP method of the request
   * @param requestPath path below the service, starting with a slash, without query
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
