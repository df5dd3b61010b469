package org.dandelionbeam.membership;

import org.dandelionbeam.peer.PeerMessage;

/**
 * Request for the receiver's roster.
 *
 * @param epoch revision of the sender's roster, 0 for none
 */
public record RosterRequest(long epoch) implements PeerMessage {}
