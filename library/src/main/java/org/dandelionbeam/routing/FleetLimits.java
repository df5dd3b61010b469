package org.dandelionbeam.routing;

import java.time.Duration;

/**
 * Limits that hold over all routers together.
 *
 * @param retryRatio retries allowed for each request
 * @param retryExtra retries allowed besides, over all routers
 * @param retryWindow window in which retries are counted
 * @param coldOverrun factor on the rate that a cold upstream bears
 * @param coldTolerance requests a second that a cold upstream bears besides
 */
public record FleetLimits(
    double retryRatio,
    double retryExtra,
    Duration retryWindow,
    double coldOverrun,
    double coldTolerance) {}
