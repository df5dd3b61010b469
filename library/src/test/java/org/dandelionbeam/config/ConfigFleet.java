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

/** Keepers wired directly, on an injected clock, with a fake of the platform's one key. */
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

  /** Starts a node, or starts it again without anything that it knew. */
  public void start(NodeId node) {
    ConfigStateMachine keeper =
        ConfigStateMachine.of(node, CODEC, new Random(random.nextLong()), now);
    machines.put(node, keeper);
    inForce.put(node, 0L);
    machines.values().forEach(other -> other.updateMembers(List.copyOf(machines.keySet())));
    tick(node, keeper, random.nextLong(100 * MILLI));
  }

  public void apply(int i, String change, long expected, ConfigNode tree) {
    handle(i, keeper -> keeper.apply(change, expected, tree, now));
  }

  public void handle(int i, Function<ConfigStateMachine, List<ConfigAction>> event) {
    perform(node(i), stateMachine(i), event.apply(stateMachine(i)));
  }

  /** Writes the platform's key behind the fleet's back. */
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

  /** Runs until every node has a revision; returns how long it took, or fails after a limit. */
  public long runUntilAllAt(long wanted, long limitNanos) {
    long begun = now;
    while (inForce.values().stream().anyMatch(at -> at < wanted)) {
      if (now - begun > limitNanos) {
        throw new AssertionError("not all at " + wanted + ": " + inForce);
      }
      run(MILLI);
    }
    return now - begun;
  }

  /** Runs until a node has any revision. */
  public void runUntilAnyRevision(int i, long limitNanos) {
    long begun = now;
    while (inForce.get(node(i)) == 0 && now - begun <= limitNanos) {
      run(MILLI);
    }
  }

  private void tick(NodeId node, ConfigStateMachine keeper, long delay) {
    schedule(
        delay,
        () -> {
          if (machines.get(node) == keeper) {
            perform(node, keeper, keeper.tick(now));
            tick(node, keeper, 100 * MILLI);
          }
        });
  }

  private void perform(NodeId node, ConfigStateMachine keeper, List<ConfigAction> actions) {
    for (ConfigAction action : actions) {
      if (action instanceof Send send) {
        sent.computeIfAbsent(node, key -> new ArrayList<>()).add(send.message());
        send(node, send);
      } else if (action instanceof BringIntoForce change) {
        bringIntoForce(node, keeper, change.configuration().revision());
      } else if (action instanceof Answer answer) {
        answers.put(answer.change(), answer.result());
      } else {
        callPlatform(node, keeper, action);
      }
    }
  }

  private void bringIntoForce(NodeId node, ConfigStateMachine keeper, long next) {
    if (next <= inForce.get(node) || next < keeper.status(now).newestRevision()) {
      throw new AssertionError(node + " went from " + inForce.get(node) + " to " + next);
    }
    inForce.put(node, next);
  }

  private void send(NodeId from, Send send) {
    int copies = random.nextDouble() < duplicateProbability ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      if (random.nextDouble() >= lossProbability && !isCut.test(from, send.to())) {
        long delay =
            3 * MILLI / 2 + (maxExtraDelayNanos == 0 ? 0 : random.nextLong(maxExtraDelayNanos));
        schedule(delay, () -> deliver(from, send.to(), send.message()));
      }
    }
  }

  private void deliver(NodeId from, NodeId to, PeerMessage message) {
    ConfigStateMachine keeper = machines.get(to);
    if (keeper == null) {
      return;
    }
    if (message instanceof ConfigDigest digest) {
      perform(to, keeper, keeper.onDigest(from, digest, now));
    } else if (message instanceof ConfigPull pull) {
      perform(to, keeper, keeper.onPull(from, pull, now));
    } else if (message instanceof RolloutReport report) {
      perform(to, keeper, keeper.onReport(from, report));
    } else {
      perform(to, keeper, keeper.onUpdate(from, (ConfigUpdate) message, now));
    }
  }

  private void callPlatform(NodeId node, ConfigStateMachine keeper, ConfigAction action) {
    platformCallers.add(node);
    if (action instanceof Watch watch) {
      platformCalls++;
      watch(node, keeper, watch.afterRevision(), now + SECOND);
    } else if (action instanceof ReadCurrent) {
      platformCalls++;
      answer(
          node,
          keeper,
          isPlatformUnavailable(node),
          k -> k.onReadCompleted(platformRevision, platformValue, now),
          this::onWatchFailed);
    } else if (action instanceof Write write) {
      platformCalls++;
      schedule(2 * MILLI, () -> write(node, keeper, write));
    }
  }

  private void watch(NodeId node, ConfigStateMachine keeper, long after, long endsAt) {
    boolean isLagging = random.nextDouble() < staleWatchProbability && platformRevision > 0;
    long seen = isLagging ? platformRevision - 1 : platformRevision;
    byte[] bytes = platformHistory.get((int) seen);
    if (isPlatformUnavailable(node) || seen > after || isLagging || now >= endsAt) {
      answer(
          node,
          keeper,
          isPlatformUnavailable(node),
          k -> k.onWatchCompleted(seen, bytes, now),
          this::onWatchFailed);
    } else {
      schedule(5 * MILLI, () -> watch(node, keeper, after, endsAt));
    }
  }

  private boolean isPlatformUnavailable(NodeId node) {
    return platformUnavailable || unavailableFor.test(node);
  }

  private List<ConfigAction> onWatchFailed(ConfigStateMachine keeper) {
    return keeper.onWatchFailed(now);
  }

  private void write(NodeId node, ConfigStateMachine keeper, Write write) {
    boolean isOut = isPlatformUnavailable(node);
    boolean swapped = !isOut && write.expectedRevision() == platformRevision;
    if (swapped) {
      overwritePlatformValue(write.value());
    }
    Verdict verdict = isOut ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
    long at = platformRevision;
    byte[] bytes = platformValue;
    answer(
        node,
        keeper,
        isOut || random.nextDouble() < lostAnswerProbability,
        k -> k.onWriteCompleted(write.change(), swapped, at, bytes, now),
        k -> k.onWriteFailed(write.change(), verdict, now));
  }

  private void answer(
      NodeId node,
      ConfigStateMachine keeper,
      boolean fails,
      Function<ConfigStateMachine, List<ConfigAction>> success,
      Function<ConfigStateMachine, List<ConfigAction>> failure) {
    schedule(
        2 * MILLI,
        () -> {
          if (machines.get(node) == keeper) {
            perform(node, keeper, (fails ? failure : success).apply(keeper));
          }
        });
  }

  private void schedule(long delay, Runnable task) {
    events.add(new Event(now + delay, sequence++, task));
  }

  private record Event(long at, long sequence, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
