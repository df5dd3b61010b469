package org.dandelionbeam.config;

import org.dandelionbeam.peer.PeerMessage;

/**
 * Message that asks a peer for the configuration that it has in force.
 *
 * @param baseRevision revision in force at the sender, from which deltas may start; 0 if the sender
 *     needs the full value
 */
public record ConfigPull(long baseRevision) implements PeerMessage {}
