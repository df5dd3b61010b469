package org.dandelionbeam.daemon.bench;

/**
 * Figures of one fairness simulation.
 *
 * @param throughput finished cost per second as a share of the engines' capacity
 * @param idleShare slot time that was idle while a ticket waited, as a share of all slot time
 * @param maxUsageGap largest difference in usage of two backlogged teams over any period
 * @param usageGapBound largest difference allowed: cost in flight plus one report interval's
 *     capacity
 * @param smallestTeamWaitSeconds longest wait of the smallest team
 * @param smallestTeamWaitRatio that wait divided by the team's longest fair wait
 * @param batchesPerRequest batches between routers per arrived request
 * @param messagesPerRequest messages in those batches per arrived request
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
