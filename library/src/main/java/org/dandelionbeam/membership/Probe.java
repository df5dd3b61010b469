package org.dandelionbeam.membership;

import org.dandelionbeam.peer.PeerMessage;

/**
 * Probe that checks whether a member responds.
 *
 * @param epoch revision of the sender's roster
 * @param sequence number that the acknowledgement repeats
 * @param marksDigest digest of the sender's marks of failure domains; the receiver sends its marks
 *     if its digest differs
 * @param gossip news of members and failure domains
 */
public record Probe(long epoch, int sequence, int marksDigest, Gossip gossip)
    implements PeerMessage {}
