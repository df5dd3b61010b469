package org.dandelionbeam.daemon.bench;

/**
 * Load and faults of one run.
 *
 * @param name name in the report
 * @param demand offered cost of each team as a multiple of its fair share
 * @param skew share of a team's requests that come in at its first router
 * @param hintFactor factor by which cost hints are too high or too low
 * @param reportLoss share of the usage reports that are lost
 * @param homesLost whether the homes of all teams lose their usage totals for a while
 */
record Scenario(
    String name,
    double[] demand,
    double skew,
    double hintFactor,
    double reportLoss,
    boolean homesLost) {}
