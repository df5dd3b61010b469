package org.dandelionbeam.share.wiring;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.membership.Ownership;
import org.dandelionbeam.membership.Slots;
import org.dandelionbeam.membership.WindowState;
import org.dandelionbeam.peer.PeerMessage;
import org.dandelionbeam.peer.PeerNetwork;
import org.dandelionbeam.runtime.EventThread;
import org.testng.annotations.Test;

public class ShareManagerTest {
  private static final ServiceId SERVICE = ServiceId.of(1);
  private static final TeamId TEAM = TeamId.of(2);
  private static final NodeId A = NodeId.of("a");
  private static final NodeId B = NodeId.of("b");
  private static final Duration TICK = Duration.ofMillis(1);
  private static final long TIMEOUT_SECONDS = 20;

  private final Map<NodeId, Map<Class<?>, BiConsumer<NodeId, PeerMessage>>> receivers =
      new ConcurrentHashMap<>();

  @Test
  public void ownersLearnOfEachOtherThroughTheHome() throws Exception {
    try (EventThread threadOfA = EventThread.start("share-a");
        EventThread threadOfB = EventThread.start("share-b")) {
      ShareManager managerOfA = manager(threadOfA, A);
      ShareManager managerOfB = manager(threadOfB, B);
      CompletableFuture<Double> learned = new CompletableFuture<>();
      threadOfB.every(
          TICK,
          () -> {
            managerOfA.addUsage(SERVICE, TEAM, 10);
            double remote = managerOfB.remoteUsage(SERVICE, TEAM);
            if (remote > 0) {
              learned.complete(remote);
            }
          });
      double remote = learned.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertEquals(remote % 10, 0.0);
    }
  }

  private ShareManager manager(EventThread thread, NodeId self) {
    return ShareManager.builder()
        .thread(thread)
        .network(new Loopback(self))
        .ownership(new HomeAtA(self))
        .interval(TICK)
        .incarnation(1)
        .start();
  }

  /** Network that delivers each message immediately on the sender's thread. */
  private final class Loopback implements PeerNetwork {
    private final NodeId self;

    Loopback(NodeId self) {
      this.self = self;
    }

    @Override
    public void send(NodeId to, PeerMessage message) {
      receivers.get(to).get(message.getClass()).accept(self, message);
    }

    @Override
    public <M extends PeerMessage> void register(
        int type, Class<M> messageClass, BiConsumer<NodeId, M> receiver) {
      receivers
          .computeIfAbsent(self, node -> new HashMap<>())
          .put(messageClass, (from, message) -> receiver.accept(from, messageClass.cast(message)));
    }

    @Override
    public void setAddress(NodeId node, String host, int port) {}
  }

  /** Ownership in a fleet of two nodes where A is the home of all teams. */
  private record HomeAtA(NodeId self) implements Ownership {
    @Override
    public long epoch() {
      return 1;
    }

    @Override
    public List<NodeId> aliveMembers() {
      return List.of(A, B);
    }

    @Override
    public Optional<NodeId> ownerOf(UpstreamId upstream) {
      return Optional.empty();
    }

    @Override
    public Slots slots(UpstreamId upstream, long nowNanos) {
      return Slots.none();
    }

    @Override
    public boolean acceptsNewWork(UpstreamId upstream) {
      return true;
    }

    @Override
    public double admittedShare(UpstreamId upstream, long nowNanos) {
      return 1;
    }

    @Override
    public NodeId homeOf(TeamId team) {
      return A;
    }

    @Override
    public void publishWindow(UpstreamId upstream, WindowState state) {}

    @Override
    public Optional<WindowState> inheritedWindow(UpstreamId upstream) {
      return Optional.empty();
    }
  }
}
