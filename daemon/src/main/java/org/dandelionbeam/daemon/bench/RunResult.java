package org.dandelionbeam.daemon.bench;

/**
 * Figures of one run.
 *
 * @param throughput finished cost per second as a share of the engines' capacity
 * @param idleShare slot time that was idle while a ticket waited, as a share of all slot time
 * @param maxUsageGap largest difference of service of two backlogged teams over any window
 * @param usageGapBound what the formula allows for the gap
 * @param smallestTeamWaitSeconds longest wait of the smallest team
 * @param smallestTeamWaitRatio that wait against the team's longest fair wait
 * @param batchesPerRequest batches between routers for each request that came in
 * @param messagesPerRequest parts of those batches for each request that came in
 */
record RunResult(
    double throughput,
    double idleShare,
    double maxUsageGap,
    double usageGapBound,
    double smallestTeamWaitSeconds,
    double smallestTeamWaitRatio,
    double batchesPerRequest,
    double messagesPerRequest) {}
