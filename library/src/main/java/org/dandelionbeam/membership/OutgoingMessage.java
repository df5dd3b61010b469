package org.dandelionbeam.membership;

import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.peer.PeerMessage;

/**
 * Message to send to another node.
 *
 * @param to the receiver
 * @param message the message
 */
public record OutgoingMessage(NodeId to, PeerMessage message) {}
