package org.dandelionbeam.peer;

import java.util.function.BiConsumer;
import org.dandelionbeam.base.NodeId;

/** Sends messages to other routers and hands received ones to their duty. */
public interface PeerNetwork {

  /**
   * Sends a message without waiting; a message to an unreachable node is lost.
   *
   * @param to the receiver
   * @param message the message
   */
  void send(NodeId to, PeerMessage message);

  /**
   * Registers a type of message and the receiver of its messages.
   *
   * @param type number of the type on the wire, from 1 to 127, unique
   * @param messageClass record class of the message
   * @param receiver gets the sender and the message, on a network thread; it must not block
   * @param <M> the class
   */
  <M extends PeerMessage> void register(
      int type, Class<M> messageClass, BiConsumer<NodeId, M> receiver);

  /**
   * Tells the network where a node listens.
   *
   * @param node the node
   * @param host IP number
   * @param port TCP port of the peer listener
   */
  void setAddress(NodeId node, String host, int port);
}
