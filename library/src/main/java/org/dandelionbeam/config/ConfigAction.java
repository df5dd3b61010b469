package org.dandelionbeam.config;

import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.peer.PeerMessage;

/** Action that {@link ConfigStateMachine} asks its caller to perform. */
public sealed interface ConfigAction {

  /**
   * Sends a message to a peer.
   *
   * @param to id of the peer
   * @param message message to send
   */
  record Send(NodeId to, PeerMessage message) implements ConfigAction {}

  /**
   * Watches the configuration key in the platform store; report the result with {@link
   * ConfigStateMachine#onWatchCompleted} or {@link ConfigStateMachine#onWatchFailed}.
   *
   * @param afterRevision last known revision; the watch waits for a higher one
   */
  record Watch(long afterRevision) implements ConfigAction {}

  /**
   * Reads the configuration key with the consistency of a write, by a compare-and-swap that cannot
   * succeed; report the result with {@link ConfigStateMachine#onReadCompleted} or {@link
   * ConfigStateMachine#onWatchFailed}.
   */
  record ReadCurrent() implements ConfigAction {}

  /**
   * Writes the configuration key by compare-and-swap; report the result with {@link
   * ConfigStateMachine#onWriteCompleted} or {@link ConfigStateMachine#onWriteFailed}.
   *
   * @param change id of the change
   * @param expectedRevision revision that the key must have
   * @param value new value of the key
   */
  record Write(String change, long expectedRevision, byte[] value) implements ConfigAction {}

  /**
   * Brings a configuration into force on this node.
   *
   * @param configuration configuration to bring into force
   */
  record BringIntoForce(Configuration configuration) implements ConfigAction {}

  /**
   * Completes an operator's change with its outcome.
   *
   * @param change id of the change
   * @param result outcome of the change
   */
  record Answer(String change, ApplyResult result) implements ConfigAction {}

  /**
   * Records a decision in the journal for operators.
   *
   * @param event short name of the event
   * @param detail one sentence with the values that led to the decision
   */
  record RecordEvent(String event, String detail) implements ConfigAction {}
}
