package org.dandelionbeam.membership.wiring;

import java.util.List;
import org.dandelionbeam.membership.DomainMark;

/**
 * State of the fleet as a node knows it, for operators.
 *
 * @param node name of this node
 * @param epoch revision of the roster in use
 * @param settled whether the cold slots of all upstreams are divided by the members of that roster
 *     alone
 * @param keeper whether this node is a keeper of the roster
 * @param cutOff whether this node believes itself cut off, because most of its probes fail
 * @param members names of the members
 * @param unreachable names of the members that are not reachable
 * @param leaving names of the members that are leaving, or whose VM or failure domain is leaving
 * @param departed names of former members whose cold slots are still reserved
 * @param owned numbers of the upstreams that this node owns
 * @param marks operators' marks of failure domains
 */
public record MembershipStatus(
    String node,
    long epoch,
    boolean settled,
    boolean keeper,
    boolean cutOff,
    List<String> members,
    List<String> unreachable,
    List<String> leaving,
    List<String> departed,
    List<Integer> owned,
    List<DomainMark> marks) {}
