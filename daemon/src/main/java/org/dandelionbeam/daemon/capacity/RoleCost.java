package org.dandelionbeam.daemon.capacity;

/**
 * Control cost of one role per node at the design size.
 *
 * @param role name of the role in the budget table
 * @param messages messages per second that a node sends
 * @param bytes bytes per second that a node sends, frames included
 * @param corePercent processor time in percent of one core
 * @param memoryMebibytes memory in MiB
 */
record RoleCost(
    String role, double messages, double bytes, double corePercent, double memoryMebibytes) {

  RoleCost plus(RoleCost other) {
    return new RoleCost(
        role,
        messages + other.messages,
        bytes + other.bytes,
        corePercent + other.corePercent,
        memoryMebibytes + other.memoryMebibytes);
  }
}
