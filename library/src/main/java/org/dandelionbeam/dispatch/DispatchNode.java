package org.dandelionbeam.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.dispatch.DispatchPort.Completion;
import org.dandelionbeam.dispatch.DispatchPort.Listener;
import org.dandelionbeam.membership.Ownership;

/**
 * Entry side and owner side of dispatch on one node, and the batches that it exchanges with other
 * nodes.
 */
public final class DispatchNode {
  private final Ownership ownership;
  private final EntryDispatcher entry;
  private final OwnerDispatcher owner;
  private final int instance;
  private final Deque<DispatchMessage> localMessages = new ArrayDeque<>();
  private final Map<NodeId, List<DispatchMessage>> outbox = new LinkedHashMap<>();
  private final Map<NodeId, Integer> instances = new HashMap<>();

  private DispatchNode(
      Configuration configuration,
      OwnerPorts ports,
      DecisionListener decisions,
      RandomGenerator random) {
    ownership = ports.ownership();
    instance = random.nextInt();
    entry = EntryDispatcher.of(configuration, ownership, this::send, decisions, random);
    owner = OwnerDispatcher.of(configuration, ports, this::send);
  }

  /**
   * Returns a node without tickets; call {@link #ownershipChanged} to begin.
   *
   * @param configuration the configuration in force
   * @param ports functions of other components
   * @param decisions receives the decisions on requests
   * @param random source of randomness for the choice of owners
   * @return the node
   */
  public static DispatchNode of(
      Configuration configuration,
      OwnerPorts ports,
      DecisionListener decisions,
      RandomGenerator random) {
    return new DispatchNode(
        requireNonNull(configuration, "configuration"),
        requireNonNull(ports, "ports"),
        requireNonNull(decisions, "decisions"),
        requireNonNull(random, "random"));
  }

  /**
   * Submits a ticket of this node as the entry.
   *
   * @param ticket the ticket
   * @param listener receives the answer
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void submit(TicketRequest ticket, Listener listener, long nowNanos) {
    entry.submit(ticket, listener, nowNanos);
    processPending(nowNanos);
  }

  /**
   * Withdraws a ticket of this node's entry.
   *
   * @param request the caller's request
   * @param attempt number of the attempt
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void cancel(RequestId request, int attempt, long nowNanos) {
    entry.cancel(request, attempt, nowNanos);
    processPending(nowNanos);
  }

  /**
   * Releases the slot of a granted attempt.
   *
   * @param completion how the attempt ended
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void complete(Completion completion, long nowNanos) {
    entry.complete(completion);
    processPending(nowNanos);
  }

  /**
   * Handles a batch of another node.
   *
   * @param from the sender
   * @param batch messages of the sender
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void received(NodeId from, DispatchBatch batch, long nowNanos) {
    Integer known = instances.put(from, batch.instance());
    if (known != null && known != batch.instance()) {
      owner.entryRestarted(from, nowNanos);
      entry.ownerRestarted(from, nowNanos);
    }
    batch.forEach(message -> deliver(from, message, nowNanos));
    processPending(nowNanos);
  }

  /**
   * Handles expired deadlines and due timers, and grants free slots.
   *
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void tick(long nowNanos) {
    entry.tick(nowNanos);
    owner.tick(nowNanos);
    processPending(nowNanos);
  }

  /**
   * Reads again which node owns which upstream and which nodes are alive.
   *
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void ownershipChanged(long nowNanos) {
    owner.ownershipChanged(nowNanos);
    entry.ownershipChanged(nowNanos);
    instances.keySet().retainAll(ownership.aliveMembers());
    processPending(nowNanos);
  }

  /**
   * Applies a new configuration.
   *
   * @param configuration the configuration
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void configurationChanged(Configuration configuration, long nowNanos) {
    owner.configurationChanged(configuration, nowNanos);
    entry.configurationChanged(configuration, nowNanos);
    processPending(nowNanos);
  }

  /**
   * Refuses the tickets that wait at this node, so that their entries ask other owners, and accepts
   * no more as an owner.
   *
   * @param nowNanos current monotonic time in nanoseconds
   */
  public void drain(long nowNanos) {
    owner.drain();
    processPending(nowNanos);
  }

  /**
   * Sends the pending messages, one batch for each peer.
   *
   * @param network sends a batch to a node
   */
  public void flush(BiConsumer<NodeId, DispatchBatch> network) {
    if (outbox.isEmpty()) {
      return;
    }
    Map<NodeId, List<DispatchMessage>> batches = new LinkedHashMap<>(outbox);
    outbox.clear();
    long epoch = ownership.epoch();
    batches.forEach(
        (to, messages) -> network.accept(to, DispatchBatch.of(instance, epoch, messages)));
  }

  /**
   * Tells whether messages are pending.
   *
   * @return true if {@link #flush} would send a batch
   */
  public boolean hasOutput() {
    return !outbox.isEmpty();
  }

  /**
   * Returns the entry side.
   *
   * @return the dispatcher of tickets that this node submitted
   */
  public EntryDispatcher entry() {
    return entry;
  }

  /**
   * Returns the owner side.
   *
   * @return the dispatcher of tickets for upstreams that this node owns
   */
  public OwnerDispatcher owner() {
    return owner;
  }

  private void processPending(long nowNanos) {
    do {
      while (!localMessages.isEmpty()) {
        deliver(ownership.self(), localMessages.poll(), nowNanos);
      }
      owner.processPending(nowNanos);
    } while (!localMessages.isEmpty());
  }

  private void send(NodeId to, DispatchMessage message) {
    if (to.equals(ownership.self())) {
      localMessages.add(message);
      return;
    }
    List<DispatchMessage> messages = outbox.computeIfAbsent(to, peer -> new ArrayList<>());
    if (message instanceof DispatchMessage.Advert advert) {
      messages.removeIf(
          old -> old instanceof DispatchMessage.Advert o && o.upstream() == advert.upstream());
    }
    messages.add(message);
  }

  private void deliver(NodeId from, DispatchMessage message, long nowNanos) {
    if (message instanceof DispatchMessage.Ask ask) {
      owner.asked(from, ask, nowNanos);
    } else if (message instanceof DispatchMessage.Withdrawn withdrawn) {
      owner.withdrawn(from, withdrawn.number(), nowNanos);
    } else if (message instanceof DispatchMessage.Used used) {
      owner.used(from, used.number(), nowNanos);
    } else if (message instanceof DispatchMessage.Ended ended) {
      owner.ended(from, ended, nowNanos);
    } else if (message instanceof DispatchMessage.Carried carried) {
      owner.carried(from, carried, nowNanos);
    } else if (message instanceof DispatchMessage.Advert advert) {
      entry.advertised(from, advert, nowNanos);
    } else if (message instanceof DispatchMessage.Granted granted) {
      entry.granted(from, granted, nowNanos);
    } else if (message instanceof DispatchMessage.Queued queued) {
      entry.queued(from, queued, nowNanos);
    } else if (message instanceof DispatchMessage.Refused refused) {
      entry.refused(from, refused, nowNanos);
    }
  }
}
