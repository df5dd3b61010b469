package org.dandelionbeam.dispatch;

import java.util.List;
import org.dandelionbeam.base.NodeId;

/** One part of a message between an entry and an owner; all parts for a peer travel together. */
public sealed interface DispatchMessage {

  /**
   * Entry to owner: asks for an upstream; a repeat of a ticket that waits or is granted does no
   * harm.
   *
   * @param number number of this placement, unique at the entry
   * @param team the team
   * @param service the service
   * @param kind index of the kind
   * @param model the model, {@link #NO_MODEL} for plain services
   * @param prefixHash hash of the start of the prompt, 0 for none
   * @param costHint rough cost, 0 if unknown
   * @param remainingMillis time to the deadline
   * @param avoid upstreams not to use
   * @param virtualTime highest counter at which the entry has heard an owner serve the service
   */
  record Ask(
      long number,
      int team,
      int service,
      int kind,
      int model,
      long prefixHash,
      float costHint,
      int remainingMillis,
      List<Integer> avoid,
      float virtualTime)
      implements DispatchMessage {

    /** Copies the list. */
    public Ask {
      avoid = List.copyOf(avoid);
    }
  }

  /** Stands for no model. */
  int NO_MODEL = -1;

  /**
   * Entry to owner: the ticket is not wanted, and its grant, if any, is not used.
   *
   * @param number number of the placement
   */
  record Withdrawn(long number) implements DispatchMessage {}

  /**
   * Entry to owner: the grant is in use.
   *
   * @param number number of the placement
   */
  record Used(long number) implements DispatchMessage {}

  /**
   * Entry to owner: a granted attempt has ended.
   *
   * @param number number of the placement
   * @param outcome index of the outcome
   * @param cost measured cost
   * @param firstByteMicros time to the first byte, 0 if none came
   * @param elapsedMicros time to the end
   */
  record Ended(long number, int outcome, float cost, int firstByteMicros, int elapsedMicros)
      implements DispatchMessage {}

  /**
   * Entry to a new owner: an attempt that an earlier owner granted is still in flight.
   *
   * @param number number of the placement
   * @param team the team
   * @param upstream the upstream
   * @param remainingMillis time to the deadline
   */
  record Carried(long number, int team, int upstream, int remainingMillis)
      implements DispatchMessage {}

  /**
   * Owner to entry: the ticket waits.
   *
   * @param number number of the placement
   * @param reason index of the {@link WaitReason}
   * @param ahead tickets that wait in the queue
   * @param waitMillis expected wait
   */
  record Queued(long number, int reason, int ahead, int waitMillis) implements DispatchMessage {}

  /**
   * Owner to entry: leave to send; repeated until the entry says that the grant is used or not.
   *
   * @param number number of the placement
   * @param upstream the upstream
   */
  record Granted(long number, int upstream) implements DispatchMessage {}

  /**
   * Owner to entry: the ticket left the queue without a grant.
   *
   * @param number number of the placement
   * @param code index of the error code
   * @param retryMillis when to come back
   */
  record Refused(long number, int code, int retryMillis) implements DispatchMessage {}

  /**
   * Owner to entry: state of one owned upstream.
   *
   * @param upstream the upstream
   * @param free requests that it could take now
   * @param virtualTime counter that its queue serves at
   */
  record Advert(int upstream, int free, float virtualTime) implements DispatchMessage {}

  /** Takes parts for a peer. */
  @FunctionalInterface
  interface Sink {

    /**
     * Takes one part.
     *
     * @param to the peer, which may be this node
     * @param message the part
     */
    void send(NodeId to, DispatchMessage message);
  }
}
