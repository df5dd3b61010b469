package org.dandelionbeam.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Function;
import java.util.function.Predicate;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.config.ConfigAction.Answer;
import org.dandelionbeam.config.ConfigAction.BringIntoForce;
import org.dandelionbeam.config.ConfigAction.ReadCurrent;
import org.dandelionbeam.config.ConfigAction.Send;
import org.dandelionbeam.config.ConfigAction.Watch;
import org.dandelionbeam.config.ConfigAction.Write;
import org.dandelionbeam.config.wiring.JsonConfigCodec;
import org.dandelionbeam.peer.PeerMessage;

/**
 * Simulates a fleet in virtual time: passes the actions of its nodes' state machines directly to
 * each other and to a fake of the configuration key in the platform store, and injects faults.
 * Fails when a node goes back to an older revision.
 */
public final class ConfigFleet {
  public static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  public static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final ConfigCodec CODEC = new JsonConfigCodec();

  public final Map<NodeId, Long> inForce = new TreeMap<>();
  public final Map<String, ApplyResult> answers = new HashMap<>();
  public final Map<NodeId, List<PeerMessage>> sent = new HashMap<>();
  public final Random random;
  public long now = SECOND;
  public int platformCalls;
  public final Set<NodeId> platformCallers = new HashSet<>();
  public double lossProbability;
  public double duplicateProbability;
  public long maxExtraDelayNanos;
  public BiPredicate<NodeId, NodeId> isCut = (from, to) -> false;
  public boolean platformUnavailable;
  public Predicate<NodeId> unavailableFor = node -> false;
  public double lostAnswerProbability;
  public double staleWatchProbability;
  public long platformRevision;
  public byte[] platformValue = new byte[0];

  private final Map<NodeId, ConfigStateMachine> machines = new TreeMap<>();
  private final List<byte[]> platformHistory = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long sequence;

  public ConfigFleet(int size, long seed) {
    random = new Random(seed);
    platformHistory.add(platformValue);
    for (int i = 0; i < size; i++) {
      start(node(i));
    }
  }

  public static NodeId node(int i) {
    return NodeId.of("n" + i);
  }

  public ConfigStateMachine stateMachine(int i) {
    return machines.get(node(i));
  }

  /** Starts a node, or restarts it without its state. */
  public void start(NodeId node) {
    ConfigStateMachine stateMachine =
        ConfigStateMachine.of(node, CODEC, new Random(random.nextLong()), now);
    machines.put(node, stateMachine);
    inForce.put(node, 0L);
    machines.values().forEach(other -> other.updateMembers(List.copyOf(machines.keySet())));
    tick(node, stateMachine, random.nextLong(100 * MILLI));
  }

  public void apply(int i, String change, long expected, ConfigNode tree) {
    handle(i, stateMachine -> stateMachine.apply(change, expected, tree, now));
  }

  public void handle(int i, Function<ConfigStateMachine, List<ConfigAction>> event) {
    perform(node(i), stateMachine(i), event.apply(stateMachine(i)));
  }

  /** Writes the platform's key without telling any node. */
  public void overwritePlatformValue(byte[] bytes) {
    platformRevision++;
    platformValue = bytes;
    platformHistory.add(bytes);
  }

  public void run(long nanos) {
    long end = now + nanos;
    while (!events.isEmpty() && events.peek().at <= end) {
      Event event = events.poll();
      now = event.at;
      event.task.run();
    }
    now = end;
  }

  /**
   * Runs until every node has at least the given revision; returns the nanoseconds that it took, or
   * fails after the limit.
   */
  public long runUntilAllAt(long wanted, long limitNanos) {
    long startNanos = now;
    while (inForce.values().stream().anyMatch(at -> at < wanted)) {
      if (now - startNanos > limitNanos) {
        throw new AssertionError("not all at " + wanted + ": " + inForce);
      }
      run(MILLI);
    }
    return now - startNanos;
  }

  /** Runs until a node has any revision, or the limit is over. */
  public void runUntilAnyRevision(int i, long limitNanos) {
    long startNanos = now;
    while (inForce.get(node(i)) == 0 && now - startNanos <= limitNanos) {
      run(MILLI);
    }
  }

  private void tick(NodeId node, ConfigStateMachine stateMachine, long delayNanos) {
    schedule(
        delayNanos,
        () -> {
          if (machines.get(node) == stateMachine) {
            perform(node, stateMachine, stateMachine.tick(now));
            tick(node, stateMachine, 100 * MILLI);
          }
        });
  }

  private void perform(NodeId node, ConfigStateMachine stateMachine, List<ConfigAction> actions) {
    for (ConfigAction action : actions) {
      if (action instanceof Send send) {
        sent.computeIfAbsent(node, key -> new ArrayList<>()).add(send.message());
        send(node, send);
      } else if (action instanceof BringIntoForce change) {
        bringIntoForce(node, stateMachine, change.configuration().revision());
      } else if (action instanceof Answer answer) {
        answers.put(answer.change(), answer.result());
      } else {
        callPlatform(node, stateMachine, action);
      }
    }
  }

  private void bringIntoForce(NodeId node, ConfigStateMachine stateMachine, long nextRevision) {
    if (nextRevision <= inForce.get(node)
        || nextRevision < stateMachine.status(now).newestRevision()) {
      throw new AssertionError(node + " went from " + inForce.get(node) + " to " + nextRevision);
    }
    inForce.put(node, nextRevision);
  }

  private void send(NodeId from, Send send) {
    int copies = random.nextDouble() < duplicateProbability ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      if (random.nextDouble() >= lossProbability && !isCut.test(from, send.to())) {
        long delayNanos =
            3 * MILLI / 2 + (maxExtraDelayNanos == 0 ? 0 : random.nextLong(maxExtraDelayNanos));
        schedule(delayNanos, () -> deliver(from, send.to(), send.message()));
      }
    }
  }

  private void deliver(NodeId from, NodeId to, PeerMessage message) {
    ConfigStateMachine stateMachine = machines.get(to);
    if (stateMachine == null) {
      return;
    }
    if (message instanceof ConfigDigest digest) {
      perform(to, stateMachine, stateMachine.onDigest(from, digest, now));
    } else if (message instanceof ConfigPull pull) {
      perform(to, stateMachine, stateMachine.onPull(from, pull, now));
    } else if (message instanceof RolloutReport report) {
      perform(to, stateMachine, stateMachine.onReport(from, report));
    } else {
      perform(to, stateMachine, stateMachine.onUpdate(from, (ConfigUpdate) message, now));
    }
  }

  private void callPlatform(NodeId node, ConfigStateMachine stateMachine, ConfigAction action) {
    platformCallers.add(node);
    if (action instanceof Watch watch) {
      platformCalls++;
      watch(node, stateMachine, watch.afterRevision(), now + SECOND);
    } else if (action instanceof ReadCurrent) {
      platformCalls++;
      respond(
          node,
          stateMachine,
          isPlatformUnavailable(node),
          machine -> machine.onReadCompleted(platformRevision, platformValue, now),
          this::onWatchFailed);
    } else if (action instanceof Write write) {
      platformCalls++;
      schedule(2 * MILLI, () -> write(node, stateMachine, write));
    }
  }

  private void watch(NodeId node, ConfigStateMachine stateMachine, long after, long endsAt) {
    boolean isLagging = random.nextDouble() < staleWatchProbability && platformRevision > 0;
    long seen = isLagging ? platformRevision - 1 : platformRevision;
    byte[] bytes = platformHistory.get((int) seen);
    if (isPlatformUnavailable(node) || seen > after || isLagging || now >= endsAt) {
      respond(
          node,
          stateMachine,
          isPlatformUnavailable(node),
          machine -> machine.onWatchCompleted(seen, bytes, now),
          this::onWatchFailed);
    } else {
      schedule(5 * MILLI, () -> watch(node, stateMachine, after, endsAt));
    }
  }

  private boolean isPlatformUnavailable(NodeId node) {
    return platformUnavailable || unavailableFor.test(node);
  }

  private List<ConfigAction> onWatchFailed(ConfigStateMachine stateMachine) {
    return stateMachine.onWatchFailed(now);
  }

  private void write(NodeId node, ConfigStateMachine stateMachine, Write write) {
    boolean isUnavailable = isPlatformUnavailable(node);
    boolean swapped = !isUnavailable && write.expectedRevision() == platformRevision;
    if (swapped) {
      overwritePlatformValue(write.value());
    }
    Verdict verdict = isUnavailable ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
    long at = platformRevision;
    byte[] bytes = platformValue;
    respond(
        node,
        stateMachine,
        isUnavailable || random.nextDouble() < lostAnswerProbability,
        machine -> machine.onWriteCompleted(write.change(), swapped, at, bytes, now),
        machine -> machine.onWriteFailed(write.change(), verdict, now));
  }

  private void respond(
      NodeId node,
      ConfigStateMachine stateMachine,
      boolean fails,
      Function<ConfigStateMachine, List<ConfigAction>> success,
      Function<ConfigStateMachine, List<ConfigAction>> failure) {
    schedule(
        2 * MILLI,
        () -> {
          if (machines.get(node) == stateMachine) {
            perform(node, stateMachine, (fails ? failure : success).apply(stateMachine));
          }
        });
  }

  private void schedule(long delayNanos, Runnable task) {
    events.add(new Event(now + delayNanos, sequence++, task));
  }

  private record Event(long at, long sequence, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
