package org.dandelionbeam.dispatch.wiring;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.CostUnit;
import org.dandelionbeam.config.Service;
import org.dandelionbeam.config.ServiceType;
import org.dandelionbeam.config.Team;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.dispatch.DispatchPort;
import org.dandelionbeam.dispatch.TicketRequest;
import org.dandelionbeam.explain.Journal;
import org.dandelionbeam.membership.Ownership;
import org.dandelionbeam.membership.Slots;
import org.dandelionbeam.membership.WindowState;
import org.dandelionbeam.peer.PeerMessage;
import org.dandelionbeam.peer.PeerNetwork;
import org.dandelionbeam.runtime.EventThread;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class DispatchManagerTest {
  private static final NodeId SELF = NodeId.of("node");
  private static final ServiceId SERVICE = ServiceId.of(1);

  private final Journal journal = Journal.of(() -> Instant.EPOCH);
  private MeterRegistry meters;
  private EventThread thread;
  private DispatchManager manager;

  @BeforeMethod
  public void start() {
    meters = new SimpleMeterRegistry();
    thread = EventThread.start("dispatch-test");
    manager =
        DispatchManager.builder()
            .thread(thread)
            .network(new NoNetwork())
            .ownership(new SoleOwner())
            .configuration(DispatchManagerTest::configuration)
            .random(new Random(1))
            .journal(journal)
            .meters(meters)
            .start();
  }

  @AfterMethod
  public void stop() {
    manager.close();
    thread.close();
  }

  @Test
  public void grantsRefusesAndExplains() throws Exception {
    Answer first = submit("first", 1);
    assertEquals(first.grant().upstream(), UpstreamId.of(1));
    Answer second = submit("second", 50);
    complete(first);
    assertEquals(second.grant().upstream(), UpstreamId.of(1));
    complete(second);
    Answer unknownModel = submit("third", 1, ModelId.of(9));
    assertEquals(unknownModel.refusal().code(), ErrorCode.NO_UPSTREAM);
    List<String> steps =
        journal.entriesOf(RequestId.of("second")).stream().map(Journal.Entry::type).toList();
    assertTrue(steps.containsAll(List.of("asked", "queued", "granted")), steps.toString());
    assertEquals(meters.find("dandelionbeam.dispatch.wait").timers().size(), 2);
    assertTrue(meters.find("dandelionbeam.dispatch.wait").tag("team", "other").timer() != null);
  }

  @Test
  public void refusesAtOnceWhenItsThreadHasStopped() throws Exception {
    thread.close();
    assertEquals(submit("late", 1).refusal().code(), ErrorCode.QUEUE_FULL);
  }

  @Test
  public void drainedOwnerTakesNoTickets() throws Exception {
    Answer running = submit("running", 1);
    running.grant();
    manager.drain();
    Answer refused = submit("refused", 2);
    assertEquals(refused.refusal().code(), ErrorCode.NO_UPSTREAM);
    assertFalse(running.refused.isDone());
  }

  private Answer submit(String request, int team) {
    return submit(request, team, ModelId.of(1));
  }

  private Answer submit(String request, int team, ModelId model) {
    Answer answer = new Answer(new CompletableFuture<>(), new CompletableFuture<>());
    TicketRequest ticket =
        new TicketRequest(
            RequestId.of(request),
            1,
            TeamId.of(team),
            SERVICE,
            0,
            Optional.of(model),
            7,
            1,
            System.nanoTime() + TimeUnit.MINUTES.toNanos(1),
            Set.of());
    manager.submit(ticket, answer);
    return answer;
  }

  private void complete(Answer answer) throws Exception {
    DispatchPort.Grant grant = answer.grant();
    manager.complete(
        new DispatchPort.Completion(
            grant.request(),
            1,
            grant.upstream(),
            DispatchPort.Outcome.ANSWERED,
            10,
            1_000_000,
            2_000_000));
  }

  private static Configuration configuration() {
    Configuration.Builder builder =
        Configuration.builder()
            .model("m", ModelId.of(1))
            .service(new Service(SERVICE, "chat", ServiceType.MODEL, CostUnit.TOKENS, List.of()))
            .upstream(
                new Upstream(
                    UpstreamId.of(1),
                    "engine",
                    SERVICE,
                    FailureDomain.of("a"),
                    "127.0.0.1",
                    1,
                    Set.of(ModelId.of(1)),
                    1,
                    1,
                    false));
    for (int team = 1; team <= 50; team++) {
      String name = String.format("team-%02d", team);
      builder.team(new Team(TeamId.of(team), name, 1, List.of(), 10, 10));
    }
    return builder.build();
  }

  private record Answer(
      CompletableFuture<DispatchPort.Grant> granted,
      CompletableFuture<DispatchPort.Refusal> refused)
      implements DispatchPort.Listener {

    DispatchPort.Grant grant() throws Exception {
      return granted.get(30, TimeUnit.SECONDS);
    }

    DispatchPort.Refusal refusal() throws Exception {
      return refused.get(30, TimeUnit.SECONDS);
    }

    @Override
    public void granted(DispatchPort.Grant grant) {
      granted.complete(grant);
    }

    @Override
    public void refused(DispatchPort.Refusal refusal) {
      refused.complete(refusal);
    }
  }

  private static final class NoNetwork implements PeerNetwork {
    @Override
    public void send(NodeId to, PeerMessage message) {
      throw new AssertionError("the only node sends nothing");
    }

    @Override
    public <M extends PeerMessage> void register(
        int type, Class<M> messageClass, BiConsumer<NodeId, M> receiver) {
      assertEquals(type, 10);
    }

    @Override
    public void setAddress(NodeId node, String host, int port) {
      throw new AssertionError("dispatch sets no addresses");
    }
  }

  private static final class SoleOwner implements Ownership {
    @Override
    public NodeId self() {
      return SELF;
    }

    @Override
    public long epoch() {
      return 1;
    }

    @Override
    public List<NodeId> aliveMembers() {
      return List.of(SELF);
    }

    @Override
    public Optional<NodeId> ownerOf(UpstreamId upstream) {
      return Optional.of(SELF);
    }

    @Override
    public Slots slots(UpstreamId upstream, long nowNanos) {
      return new Slots(1, 1);
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
      return SELF;
    }

    @Override
    public void publishWindow(UpstreamId upstream, WindowState state) {
      // There is no other candidate.
    }

    @Override
    public Optional<WindowState> inheritedWindow(UpstreamId upstream) {
      return Optional.of(new WindowState(false, 1));
    }
  }
}
