package org.dandelionbeam.routing;

import java.util.List;

/** The upstreams that a scheduler decides on. */
public interface UpstreamScope {

  /**
   * Returns the upstreams of a service that requests may be granted to.
   *
   * @param service the service
   * @return the upstreams in no particular order
   */
  List<UpstreamInstance> upstreams(ServiceName service);

  /**
   * Tells whether this scheduler may send requests to an upstream while that is cold.
   *
   * @param upstream the upstream
   * @param nowNanos monotonic time
   * @return false while an earlier scheduler may still use the limit of the cold upstream
   */
  boolean mayUseWhileCold(UpstreamInstance upstream, long nowNanos);

  /**
   * Tells whether this scheduler may send requests to an upstream that has named a rate limit.
   *
   * @param upstream the upstream
   * @return false if the limit is another scheduler's to use
   */
  boolean mayUseWhileLimited(UpstreamInstance upstream);
}
