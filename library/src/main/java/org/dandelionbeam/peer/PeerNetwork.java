package org.dandelionbeam.peer;

import java.util.function.BiConsumer;
import org.dandelionbeam.base.NodeId;

/**
 * Sends messages to other routers and passes received ones to the component that registered their
 * type.
 */
public interface PeerNetwork {

  /**
   * Sends a message without blocking; a message to an unreachable node is lost.
   *
   * @param to the receiver
   * @param message the message, of a registered class
   */
  void send(NodeId to, PeerMessage message);

  /**
   * Registers a type of message and the receiver of its messages.
   *
   * @param type number of the type on the wire, from 1 to 127, unique
   * @param messageClass record class of the message
   * @param receiver receives the sender and the message on a network thread; must not block
   * @param <M> type of the message
   */
  <M extends PeerMessage> void register(
      int type, Class<M> messageClass, BiConsumer<NodeId, M> receiver);

  /**
   * Sets the address at which a node accepts peer connections.
   *
   * @param node the node
   * @param host IP address
   * @param port TCP port of the peer listener
   */
  void setAddress(NodeId node, String host, int port);
}
