package org.dandelionbeam.membership.wiring;

import org.dandelionbeam.peer.PeerMessage;

/** Size of peer messages on the wire. */
public final class MessageBytes {

  private MessageBytes() {}

  /**
   * Returns the size of a message.
   *
   * @param message the message
   * @return size of its MessagePack form in bytes, without the frame
   */
  public static int of(PeerMessage message) {
    return MemoryNetwork.encode(message).length;
  }
}
