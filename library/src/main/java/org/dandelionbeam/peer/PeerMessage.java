package org.dandelionbeam.peer;

/**
 * Message between two routers; every implementation is a record that belongs to one component.
 *
 * <p>On the wire a message is a MessagePack array of its components in their order, so new record
 * components must be added at the end.
 */
public interface PeerMessage {}
