package org.dandelionbeam.membership;

import org.dandelionbeam.peer.PeerMessage;

/**
 * Acknowledgement of a {@link Probe} or an {@link IndirectProbeRequest}.
 *
 * @param epoch revision of the sender's roster
 * @param sequence number of the probe
 * @param marksDigest digest of the sender's marks of failure domains
 * @param gossip news of members and failure domains
 */
public record ProbeAck(long epoch, int sequence, int marksDigest, Gossip gossip)
    implements PeerMessage {}
