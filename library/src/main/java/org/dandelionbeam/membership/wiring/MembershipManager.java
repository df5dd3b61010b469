package org.dandelionbeam.membership.wiring;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.MonotonicClock;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.explain.Journal;
import org.dandelionbeam.membership.AddressBook;
import org.dandelionbeam.membership.DomainMark;
import org.dandelionbeam.membership.DomainMarksMessage;
import org.dandelionbeam.membership.IndirectProbeRequest;
import org.dandelionbeam.membership.LoanRequest;
import org.dandelionbeam.membership.LoanResponse;
import org.dandelionbeam.membership.LoanReturn;
import org.dandelionbeam.membership.LoanTiming;
import org.dandelionbeam.membership.Member;
import org.dandelionbeam.membership.Membership;
import org.dandelionbeam.membership.MembershipView;
import org.dandelionbeam.membership.OutgoingMessage;
import org.dandelionbeam.membership.Ownership;
import org.dandelionbeam.membership.Probe;
import org.dandelionbeam.membership.ProbeAck;
import org.dandelionbeam.membership.Roster;
import org.dandelionbeam.membership.RosterConfirmation;
import org.dandelionbeam.membership.RosterDocument;
import org.dandelionbeam.membership.RosterRequest;
import org.dandelionbeam.membership.Slots;
import org.dandelionbeam.membership.VmList;
import org.dandelionbeam.membership.WindowState;
import org.dandelionbeam.peer.PeerMessage;
import org.dandelionbeam.peer.PeerNetwork;
import org.dandelionbeam.runtime.EventThread;
import org.dandelionbeam.store.PlatformStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs the membership of a node on its own thread and answers other components on any thread. */
public final class MembershipManager implements Ownership, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(MembershipManager.class);
  private static final Duration TICK_PERIOD = Duration.ofMillis(250);
  private static final Duration VM_LIST_PERIOD = Duration.ofSeconds(15);
  private static final int TICKS_PER_SEED_REQUEST = 4;
  private static final int FIRST_MESSAGE_TYPE = 40;

  private final EventThread thread;
  private final PeerNetwork network;
  private final Member self;
  private final List<String> seeds;
  private final Supplier<Configuration> configuration;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private final Journal journal;
  private final VmList vmList;
  private final Membership membership;
  private final PlatformKey<Roster> rosterKey;
  private final PlatformKey<List<DomainMark>> marksKey;
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private final CompletableFuture<Void> resigned = new CompletableFuture<>();
  private final Counter sent;
  private final Counter received;
  private volatile PublishedView published;
  private long ticks;

  MembershipManager(MembershipManagerBuilder builder) {
    thread = requireNonNull(builder.thread, "thread");
    network = requireNonNull(builder.network, "network");
    self = builder.member();
    seeds = List.copyOf(builder.seeds);
    configuration = requireNonNull(builder.configuration, "configuration");
    clock = builder.clock;
    random = builder.random;
    journal = requireNonNull(builder.journal, "journal");
    vmList = builder.vmList;
    LoanTiming timing = LoanTiming.of(configuration.get().limits().requestDeadline());
    membership = new Membership(self, timing, builder.inFlight, random, clock.nanos());
    PlatformStore store = requireNonNull(builder.store, "store");
    rosterKey =
        new PlatformKey<>(
            "roster",
            membership.rosterLoop(),
            MembershipCodec.roster(),
            store,
            thread,
            clock,
            this::adopt);
    marksKey =
        new PlatformKey<>(
            "domains",
            membership.marksLoop(),
            MembershipCodec.marks(),
            store,
            thread,
            clock,
            marks -> membership.mergeMarks(marks, clock.nanos()));
    MeterRegistry meters = requireNonNull(builder.meters, "meters");
    sent = meters.counter("dandelionbeam.membership.messages", "direction", "out");
    received = meters.counter("dandelionbeam.membership.messages", "direction", "in");
    published = snapshot();
    meters.gauge(
        "dandelionbeam.membership.epoch",
        this,
        manager -> manager.published.view().roster().revision());
    meters.gauge(
        "dandelionbeam.membership.alive", this, manager -> manager.published.view().alive().size());
    meters.gauge(
        "dandelionbeam.membership.owned", this, manager -> manager.published.owned().size());
  }

  /**
   * Creates a builder.
   *
   * @return an empty builder
   */
  public static MembershipManagerBuilder builder() {
    return new MembershipManagerBuilder();
  }

  /**
   * Starts to read and join the roster and to exchange messages with the other routers.
   *
   * @return this manager
   */
  public MembershipManager start() {
    int type = FIRST_MESSAGE_TYPE;
    for (Class<? extends PeerMessage> messageClass : messageClasses()) {
      register(type++, messageClass);
    }
    thread.execute(() -> membership.configure(configuration.get(), clock.nanos()));
    thread.every(TICK_PERIOD, () -> runStep(this::tick));
    thread.execute(this::readVmList);
    thread.every(VM_LIST_PERIOD, this::readVmList);
    return this;
  }

  /** Returns the classes of messages in the order of their type numbers on the wire. */
  private static List<Class<? extends PeerMessage>> messageClasses() {
    return List.of(
        Probe.class,
        ProbeAck.class,
        IndirectProbeRequest.class,
        LoanRequest.class,
        LoanResponse.class,
        LoanReturn.class,
        RosterRequest.class,
        RosterDocument.class,
        DomainMarksMessage.class,
        RosterConfirmation.class);
  }

  private <M extends PeerMessage> void register(int typeNumber, Class<M> messageClass) {
    network.register(
        typeNumber,
        messageClass,
        (from, message) -> thread.offer(() -> runStep(() -> receive(from, message))));
  }

  private List<OutgoingMessage> receive(NodeId from, PeerMessage message) {
    received.increment();
    List<OutgoingMessage> out = membership.receive(from, message, clock.nanos());
    if (message instanceof RosterDocument) {
      learnAddresses(membership.roster());
    }
    return out;
  }

  private List<OutgoingMessage> tick() {
    List<OutgoingMessage> out = new ArrayList<>(membership.tick(clock.nanos()));
    rosterKey.poll(membership.isWatcher());
    marksKey.poll(membership.isWatcher());
    if (ticks++ % TICKS_PER_SEED_REQUEST == 0 && membership.roster().revision() == 0) {
      requestRosterFromSeeds(out);
    }
    if (membership.isResigned()) {
      resigned.complete(null);
    }
    return out;
  }

  private void requestRosterFromSeeds(List<OutgoingMessage> out) {
    for (String seed : seeds) {
      int colon = seed.lastIndexOf(':');
      NodeId node = NodeId.of(seed);
      if (colon > 0 && !node.equals(self.id())) {
        network.setAddress(
            node, seed.substring(0, colon), Integer.parseInt(seed.substring(colon + 1)));
        out.add(new OutgoingMessage(node, new RosterRequest(0)));
      }
    }
  }

  /** Runs a step, publishes the resulting view, and only then sends the messages of the step. */
  private void runStep(Supplier<List<OutgoingMessage>> step) {
    List<OutgoingMessage> out = step.get();
    publish();
    sent.increment(out.size());
    out.forEach(each -> network.send(each.to(), each.message()));
  }

  private void publish() {
    PublishedView before = published;
    PublishedView now = snapshot();
    published = now;
    if (!now.isSameAs(before)) {
      journalChanges(before, now);
      listeners.forEach(Runnable::run);
    }
  }

  private PublishedView snapshot() {
    return new PublishedView(membership.view(), membership.isWatcher(), membership.isCutOff());
  }

  private void journalChanges(PublishedView before, PublishedView now) {
    long epoch = now.view().roster().revision();
    if (epoch != before.view().roster().revision()) {
      journal.recordEvent(
          "roster", "epoch " + epoch + ", " + now.view().roster().members().size() + " members");
    }
    if (!now.owned().equals(before.owned())) {
      journal.recordEvent("owned", "owns " + now.owned() + ", before " + before.owned());
    }
    if (!now.view().unreachable().equals(before.view().unreachable())) {
      journal.recordEvent("unreachable", now.view().unreachable().toString());
    }
    if (!now.view().leaving().equals(before.view().leaving())) {
      journal.recordEvent("leaving", now.view().leaving().toString());
    }
    if (now.cutOff() != before.cutOff()) {
      journal.recordEvent("cut-off", "most probes of this node fail: " + now.cutOff());
    }
  }

  private void adopt(Roster roster) {
    if (membership.adopt(roster, clock.nanos())) {
      learnAddresses(roster);
      publish();
    }
  }

  private void learnAddresses(Roster roster) {
    roster
        .members()
        .forEach(member -> network.setAddress(member.id(), member.host(), member.peerPort()));
  }

  private void readVmList() {
    vmList
        .read()
        .whenComplete(
            (list, cause) -> {
              if (cause == null) {
                thread.execute(() -> membership.vms(list));
              } else {
                LOG.debug("could not read the platform's list of VMs: {}", cause.toString());
              }
            });
  }

  /**
   * Adds a listener for changes of the roster, configuration, reachability, ownership, VMs and
   * marks.
   *
   * @param listener called on the thread of membership; it must not block
   */
  public void onChange(Runnable listener) {
    listeners.add(requireNonNull(listener, "listener"));
  }

  /** Applies the configuration in force. */
  public void configurationChanged() {
    thread.execute(
        () ->
            runStep(
                () -> {
                  membership.configure(configuration.get(), clock.nanos());
                  return List.of();
                }));
  }

  /**
   * Stops new work in a failure domain; works also while the platform is unavailable.
   *
   * @param domain the domain
   * @return the mark in force on this node
   */
  public CompletableFuture<DomainMark> leaveDomain(FailureDomain domain) {
    return markDomain(domain, true);
  }

  /**
   * Brings a failure domain back into service by steps.
   *
   * @param domain the domain
   * @return the mark in force on this node
   */
  public CompletableFuture<DomainMark> returnDomain(FailureDomain domain) {
    return markDomain(domain, false);
  }

  private CompletableFuture<DomainMark> markDomain(FailureDomain domain, boolean leaving) {
    CompletableFuture<DomainMark> result = new CompletableFuture<>();
    thread.execute(
        () ->
            runStep(
                () -> {
                  journal.recordEvent("domain", domain + (leaving ? " leaves" : " returns"));
                  result.complete(membership.markDomain(domain, leaving, clock.nanos()));
                  return List.of();
                }));
    return result;
  }

  /** Starts to leave: this node no longer owns upstreams and is no longer listed for callers. */
  public void leave() {
    thread.execute(
        () ->
            runStep(
                () -> {
                  membership.leave(clock.nanos());
                  return List.of();
                }));
  }

  /**
   * Removes this node from the roster; called after {@link #leave} when all requests of this node
   * have ended.
   *
   * @return completes when a roster without this node is in force; never while the platform is
   *     unavailable
   */
  public CompletableFuture<Void> resign() {
    thread.execute(
        () ->
            runStep(
                () -> {
                  membership.resign(clock.nanos());
                  return List.of();
                }));
    return resigned;
  }

  /**
   * Returns the addresses that a caller may use.
   *
   * @param callerDomain failure domain of the caller, empty if unknown
   * @return the addresses, best first
   */
  public AddressBook addresses(Optional<FailureDomain> callerDomain) {
    RandomGenerator order = new SplittableRandom(System.nanoTime());
    return AddressBook.of(published.view().usableMembers(), callerDomain, member -> 0, order);
  }

  /**
   * Returns the state of the fleet as this node knows it.
   *
   * @return the current state, for operators
   */
  public MembershipStatus status() {
    return published.status(self.id());
  }

  @Override
  public NodeId self() {
    return self.id();
  }

  @Override
  public long epoch() {
    return published.view().roster().revision();
  }

  @Override
  public List<NodeId> aliveMembers() {
    return published.view().alive();
  }

  @Override
  public Optional<NodeId> ownerOf(UpstreamId upstream) {
    return published.view().ownerOf(upstream);
  }

  @Override
  public Slots slots(UpstreamId upstream, long nowNanos) {
    return published.view().slots(upstream, nowNanos);
  }

  @Override
  public boolean acceptsNewWork(UpstreamId upstream) {
    return published.view().acceptsNewWork(upstream);
  }

  @Override
  public double admittedShare(UpstreamId upstream, long nowNanos) {
    return published.view().admittedShare(upstream, nowNanos);
  }

  @Override
  public NodeId homeOf(TeamId team) {
    return published.view().homeOf(team).orElse(self.id());
  }

  @Override
  public void publishWindow(UpstreamId upstream, WindowState state) {
    thread.offer(() -> membership.publishWindow(upstream, state));
  }

  @Override
  public Optional<WindowState> inheritedWindow(UpstreamId upstream) {
    return Optional.ofNullable(published.view().roles().get(upstream))
        .flatMap(MembershipView.Role::window);
  }

  /** Stops the thread of membership; this node stays in the roster. */
  @Override
  public void close() {
    thread.close();
  }
}
