package org.dandelionbeam.walk;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.dispatch.Affinity;
import org.dandelionbeam.dispatch.CostEstimates;
import org.dandelionbeam.dispatch.DispatchBatch;
import org.dandelionbeam.dispatch.DispatchNode;
import org.dandelionbeam.dispatch.DispatchPort;
import org.dandelionbeam.dispatch.OwnerPorts;
import org.dandelionbeam.dispatch.QueuedTicket;
import org.dandelionbeam.dispatch.RemoteUsage;
import org.dandelionbeam.dispatch.UsageListener;
import org.dandelionbeam.dispatch.Window;
import org.dandelionbeam.membership.LoanTiming;
import org.dandelionbeam.membership.Member;
import org.dandelionbeam.membership.Membership;
import org.dandelionbeam.membership.MembershipView;
import org.dandelionbeam.membership.OutgoingMessage;
import org.dandelionbeam.membership.Ownership;
import org.dandelionbeam.membership.Slots;
import org.dandelionbeam.membership.WindowState;
import org.dandelionbeam.peer.PeerMessage;

/** One process with membership and dispatch, connected in the way the router connects them. */
final class WalkNode implements Ownership {
  private static final long MEMBERSHIP_TICK_NANOS = Duration.ofMillis(250).toNanos();

  final Member member;
  final Membership membership;
  final DispatchNode dispatch;
  final Map<RequestId, WalkTicket> tickets = new HashMap<>();
  final Map<FailureDomain, Long> leavingSinceNanos = new HashMap<>();
  boolean paused;
  MembershipView view;
  private final WalkFleet fleet;
  private long nextTickNanos;

  WalkNode(WalkFleet fleet, Member member) {
    this.fleet = fleet;
    this.member = member;
    membership =
        new Membership(
            member,
            LoanTiming.of(WalkFleet.DEADLINE),
            upstream -> dispatch().owner().inFlightCounts().count(upstream),
            fleet.random,
            fleet.now);
    membership.configure(fleet.configuration, fleet.now);
    view = membership.view();
    OwnerPorts ports =
        new OwnerPorts(
            this,
            (upstream, inherited) -> new FakeWindow(upstream, fleet.isCold(upstream.id())),
            new HintEstimates(),
            RemoteUsage.none(),
            Affinity.none(),
            UsageListener.none());
    dispatch =
        DispatchNode.of(fleet.configuration, ports, (request, step, detail) -> {}, fleet.random);
    nextTickNanos = fleet.now + fleet.random.nextLong(MEMBERSHIP_TICK_NANOS);
  }

  private DispatchNode dispatch() {
    return dispatch;
  }

  void tick() {
    if (fleet.now >= nextTickNanos) {
      nextTickNanos = fleet.now + MEMBERSHIP_TICK_NANOS;
      List<OutgoingMessage> out = new ArrayList<>(membership.tick(fleet.now));
      sendAll(out);
      fleet.platform.poll(this);
      publish();
    }
    dispatch.tick(fleet.now);
    flush();
  }

  void receive(NodeId from, PeerMessage message) {
    if (message instanceof DispatchBatch batch) {
      dispatch.received(from, batch, fleet.now);
      flush();
    } else {
      sendAll(membership.receive(from, message, fleet.now));
      publish();
    }
  }

  void submit(WalkTicket ticket) {
    tickets.put(ticket.request.request(), ticket);
    dispatch.submit(ticket.request, ticket, fleet.now);
    flush();
  }

  void cancel(WalkTicket ticket) {
    ticket.cancelled = true;
    fleet.stop(ticket);
    dispatch.cancel(ticket.request.request(), 1, fleet.now);
    flush();
  }

  void complete(WalkTicket ticket) {
    dispatch.complete(
        new DispatchPort.Completion(
            ticket.request.request(), 1, ticket.upstream, DispatchPort.Outcome.ANSWERED, 10, 1, 2),
        fleet.now);
    flush();
  }

  void markDomain(FailureDomain domain, boolean leaving) {
    membership.markDomain(domain, leaving, fleet.now);
    publish();
  }

  /** Publishes the new view, as the membership manager does after each step. */
  void publish() {
    MembershipView before = view;
    view = membership.view();
    for (FailureDomain domain : WalkFleet.DOMAINS) {
      if (view.shares().isLeaving(domain)) {
        leavingSinceNanos.putIfAbsent(domain, fleet.now);
      } else {
        leavingSinceNanos.remove(domain);
      }
    }
    boolean same =
        view.roster().revision() == before.roster().revision()
            && view.unreachable().equals(before.unreachable())
            && view.leaving().equals(before.leaving())
            && view.marks().equals(before.marks())
            && owners(view).equals(owners(before));
    if (!same) {
      fleet.addToTrace(
          self()
              + " sees roster "
              + epoch()
              + ", owners "
              + new TreeMap<>(owners(view))
              + ", unreachable "
              + view.unreachable());
      dispatch.ownershipChanged(fleet.now);
      flush();
    }
  }

  private static Map<UpstreamId, NodeId> owners(MembershipView view) {
    Map<UpstreamId, NodeId> owners = new HashMap<>();
    view.roles().forEach((id, role) -> role.owner().ifPresent(owner -> owners.put(id, owner)));
    return owners;
  }

  private void sendAll(List<OutgoingMessage> out) {
    out.forEach(each -> fleet.send(member.id(), each.to(), each.message()));
  }

  private void flush() {
    dispatch.flush((to, batch) -> fleet.send(member.id(), to, batch));
  }

  @Override
  public NodeId self() {
    return member.id();
  }

  @Override
  public long epoch() {
    return view.roster().revision();
  }

  @Override
  public List<NodeId> aliveMembers() {
    return view.alive();
  }

  @Override
  public Optional<NodeId> ownerOf(UpstreamId upstream) {
    return view.ownerOf(upstream);
  }

  @Override
  public Slots slots(UpstreamId upstream, long nowNanos) {
    return view.slots(upstream, nowNanos);
  }

  @Override
  public boolean acceptsNewWork(UpstreamId upstream) {
    return view.acceptsNewWork(upstream);
  }

  @Override
  public double admittedShare(UpstreamId upstream, long nowNanos) {
    return view.admittedShare(upstream, nowNanos);
  }

  @Override
  public NodeId homeOf(TeamId team) {
    return view.homeOf(team).orElse(self());
  }

  @Override
  public void publishWindow(UpstreamId upstream, WindowState state) {
    membership.publishWindow(upstream, state);
  }

  @Override
  public Optional<WindowState> inheritedWindow(UpstreamId upstream) {
    return Optional.ofNullable(view.roles().get(upstream)).flatMap(MembershipView.Role::window);
  }

  private record FakeWindow(Upstream upstream, boolean isCold) implements Window {
    @Override
    public int limit() {
      return isCold ? upstream.coldLimit() : upstream.window();
    }

    @Override
    public void started(long nowNanos) {
      // The simulated upstream counts its requests itself.
    }

    @Override
    public void ended(
        DispatchPort.Outcome outcome, double cost, long firstByte, long elapsed, long nowNanos) {
      // The simulated upstream counts its requests itself.
    }

    @Override
    public WindowState state() {
      return new WindowState(isCold, limit());
    }
  }

  private static final class HintEstimates implements CostEstimates {
    @Override
    public double estimate(
        TeamId team, ServiceId service, int kind, Optional<ModelId> model, double hint) {
      return hint;
    }

    @Override
    public void observed(QueuedTicket ticket, double cost) {
      // Estimates do not learn from observed costs.
    }
  }

  static Set<NodeId> pair(NodeId one, NodeId other) {
    return one.equals(other) ? Set.of(one) : Set.of(one, other);
  }
}
