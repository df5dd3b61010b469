package org.dandelionbeam.config;

import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.peer.PeerMessage;

/** What the configuration's decisions want done. */
public sealed interface ConfigAction {

  /**
   * Send a message to a peer.
   *
   * @param to the peer
   * @param message the message
   */
  record Send(NodeId to, PeerMessage message) implements ConfigAction {}

  /**
   * Watch the platform's key; answer with {@link ConfigStateMachine#onWatchCompleted} or {@link
   * ConfigStateMachine#onWatchFailed}.
   *
   * @param afterRevision revision that is known
   */
  record Watch(long afterRevision) implements ConfigAction {}

  /**
   * Read the platform's key from where writes are decided, by a compare-and-swap that can't
   * succeed; answer with {@link ConfigStateMachine#onReadCompleted} or {@link
   * ConfigStateMachine#onWatchFailed}.
   */
  record ReadCurrent() implements ConfigAction {}

  /**
   * Write the platform's key by compare-and-swap; answer with {@link
   * ConfigStateMachine#onWriteCompleted} or {@link ConfigStateMachine#onWriteFailed}.
   *
   * @param change id of the change
   * @param expectedRevision revision that must be there
   * @param value the new value
   */
  record Write(String change, long expectedRevision, byte[] value) implements ConfigAction {}

  /**
   * Bring a configuration into force on this node.
   *
   * @param configuration the configuration
   */
  record BringIntoForce(Configuration configuration) implements ConfigAction {}

  /**
   * Answer an operator.
   *
   * @param change id of the change
   * @param result the outcome
   */
  record Answer(String change, ApplyResult result) implements ConfigAction {}

  /**
   * Note a decision for operators.
   *
   * @param event short name of the event
   * @param detail one sentence with values
   */
  record RecordEvent(String event, String detail) implements ConfigAction {}
}
