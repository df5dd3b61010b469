package org.dandelionbeam.membership;

import org.dandelionbeam.peer.PeerMessage;

/**
 * Request to probe a third member and to forward its acknowledgement.
 *
 * @param epoch revision of the sender's roster
 * @param sequence number that the acknowledgement repeats
 * @param target name of the member to probe
 */
public record IndirectProbeRequest(long epoch, int sequence, String target)
    implements PeerMessage {}
