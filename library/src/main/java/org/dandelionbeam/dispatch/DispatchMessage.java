package org.dandelionbeam.dispatch;

import java.util.List;
import org.dandelionbeam.base.NodeId;

/**
 * Message between an entry and an owner; all messages for a peer travel in one {@link
 * DispatchBatch}.
 */
public sealed interface DispatchMessage {

  /**
   * Entry to owner: asks for an upstream; repeating it for a ticket that waits or is granted has no
   * effect on the queue.
   *
   * @param number number of this placement, unique at the entry
   * @param team number of the team
   * @param service number of the service
   * @param kind index of the kind in the service
   * @param model number of the model, {@link #NO_MODEL} for plain services
   * @param prefixHash hash of the start of the prompt, 0 for none
   * @param costHint rough cost in the service's unit, 0 if unknown
   * @param remainingMillis time to the deadline
   * @param avoid numbers of the upstreams that must not be used
   * @param virtualTime highest virtual time that an owner of the service has advertised to the
   *     entry
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

  /** Model number of a ticket without a model. */
  int NO_MODEL = -1;

  /**
   * Entry to owner: withdraws a ticket; its grant, if any, will not be used.
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
   * @param cost measured cost in the service's unit
   * @param firstByteMicros time to the first byte, 0 if none came
   * @param elapsedMicros time to the end
   */
  record Ended(long number, int outcome, float cost, int firstByteMicros, int elapsedMicros)
      implements DispatchMessage {}

  /**
   * Entry to a new owner: an attempt that an earlier owner granted is still in flight.
   *
   * @param number number of the placement
   * @param team number of the team
   * @param upstream number of the upstream
   * @param remainingMillis time to the deadline
   */
  record Carried(long number, int team, int upstream, int remainingMillis)
      implements DispatchMessage {}

  /**
   * Owner to entry: the ticket waits.
   *
   * @param number number of the placement
   * @param reason index of the {@link WaitReason}
   * @param ahead number of other tickets that wait in the queue
   * @param waitMillis expected waiting time
   */
  record Queued(long number, int reason, int ahead, int waitMillis) implements DispatchMessage {}

  /**
   * Owner to entry: allows the attempt to be sent; repeated at intervals until the entry withdraws
   * the ticket or reports the end of the attempt.
   *
   * @param number number of the placement
   * @param upstream number of the upstream
   */
  record Granted(long number, int upstream) implements DispatchMessage {}

  /**
   * Owner to entry: the ticket left the queue without a grant.
   *
   * @param number number of the placement
   * @param code index of the error code
   * @param retryMillis time after which to try again
   */
  record Refused(long number, int code, int retryMillis) implements DispatchMessage {}

  /**
   * Owner to entry: state of one owned upstream.
   *
   * @param upstream number of the upstream
   * @param free number of requests that it can take now
   * @param virtualTime virtual time of its queue, see {@link FairQueue#virtualTime}
   */
  record Advert(int upstream, int free, float virtualTime) implements DispatchMessage {}

  /** Sends messages to peers. */
  @FunctionalInterface
  interface Sink {

    /**
     * Sends a message, together with the other messages for the same peer.
     *
     * @param to receiver, which may be this node
     * @param message message to send
     */
    void send(NodeId to, DispatchMessage message);
  }
}
