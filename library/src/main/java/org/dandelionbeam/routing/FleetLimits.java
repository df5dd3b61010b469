package org.dandelionbeam.routing;

import java.time.Duration;

/**
 * Limits that all routers together have to keep.
 *
 * @param retryRatio retries allowed per request
 * @param retryExtra retries allowed per window in addition, over all routers together
 * @param retryWindow sliding window over which requests and retries are counted
 * @param coldOverrun factor by which the request rate of a cold upstream may be exceeded
 * @param coldTolerance requests per second allowed to a cold upstream in addition
 */
public record FleetLimits(
    double retryRatio,
    double retryExtra,
    Duration retryWindow,
    double coldOverrun,
    double coldTolerance) {}
