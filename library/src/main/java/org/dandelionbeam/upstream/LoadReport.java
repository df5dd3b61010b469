package org.dandelionbeam.upstream;

/**
 * Load that an upstream reports about itself. It lags behind the measurements of the router.
 *
 * @param inFlight number of requests that the upstream is running, from all routers
 * @param queued number of requests that it has accepted but not started
 * @param cold whether the upstream says that it is cold
 * @param bootId identifier that changes with each start of the upstream
 */
public record LoadReport(int inFlight, int queued, boolean cold, long bootId) {}
