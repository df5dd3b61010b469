package org.dandelionbeam.membership;

import org.dandelionbeam.peer.PeerMessage;

/**
 * Statement of a node that it keeps to a roster on every upstream, or to a newer one.
 *
 * @param epoch revision of the sender's roster
 * @param generation generation of that roster
 */
public record RosterConfirmation(long epoch, long generation) implements PeerMessage {}
