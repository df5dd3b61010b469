package org.dandelionbeam.config;

import org.dandelionbeam.peer.PeerMessage;

/**
 * Asks a peer for its configuration.
 *
 * @param baseRevision revision that the sender has in force and a delta may start from, 0 for none
 */
public record ConfigPull(long baseRevision) implements PeerMessage {}
