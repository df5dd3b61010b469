package org.dandelionbeam.membership;

import org.dandelionbeam.peer.PeerMessage;

/**
 * Confirmation by a node that its slots on every upstream are within its share by a roster or by a
 * newer one.
 *
 * @param epoch revision of the sender's roster
 * @param generation generation of that roster
 */
public record RosterConfirmation(long epoch, long generation) implements PeerMessage {}
