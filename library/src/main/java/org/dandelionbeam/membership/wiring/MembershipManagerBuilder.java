package org.dandelionbeam.membership.wiring;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.MonotonicClock;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.explain.Journal;
import org.dandelionbeam.membership.Member;
import org.dandelionbeam.membership.VmList;
import org.dandelionbeam.peer.PeerNetwork;
import org.dandelionbeam.runtime.EventThread;
import org.dandelionbeam.store.PlatformStore;

/** Builds a {@link MembershipManager}. */
public final class MembershipManagerBuilder {
  EventThread thread;
  PeerNetwork network;
  PlatformStore store;
  NodeId self;
  String host;
  int peerPort;
  int callerPort;
  FailureDomain domain;
  long incarnation = System.currentTimeMillis();
  List<String> seeds = List.of();
  Supplier<Configuration> configuration;
  MonotonicClock clock = MonotonicClock.system();
  RandomGenerator random = new SplittableRandom();
  Journal journal;
  MeterRegistry meters;
  VmList vmList = VmList.none();
  ToIntFunction<UpstreamId> inFlight = upstream -> Integer.MAX_VALUE;

  MembershipManagerBuilder() {}

  /**
   * Sets the thread.
   *
   * @param thread thread that membership runs on
   * @return this builder
   */
  public MembershipManagerBuilder thread(EventThread thread) {
    this.thread = requireNonNull(thread, "thread");
    return this;
  }

  /**
   * Sets the network.
   *
   * @param network network that connects the routers
   * @return this builder
   */
  public MembershipManagerBuilder network(PeerNetwork network) {
    this.network = requireNonNull(network, "network");
    return this;
  }

  /**
   * Sets the platform's key-value store.
   *
   * @param store the key-value store
   * @return this builder
   */
  public MembershipManagerBuilder store(PlatformStore store) {
    this.store = requireNonNull(store, "store");
    return this;
  }

  /**
   * Sets the node.
   *
   * @param self id of this node; by default its peer address
   * @return this builder
   */
  public MembershipManagerBuilder self(NodeId self) {
    this.self = requireNonNull(self, "self");
    return this;
  }

  /**
   * Sets the host.
   *
   * @param host IP address of this node
   * @return this builder
   */
  public MembershipManagerBuilder host(String host) {
    this.host = requireNonNull(host, "host");
    return this;
  }

  /**
   * Sets the failure domain.
   *
   * @param domain failure domain of this node
   * @return this builder
   */
  public MembershipManagerBuilder domain(FailureDomain domain) {
    this.domain = requireNonNull(domain, "domain");
    return this;
  }

  /**
   * Sets the configuration.
   *
   * @param configuration supplies the configuration in force
   * @return this builder
   */
  public MembershipManagerBuilder configuration(Supplier<Configuration> configuration) {
    this.configuration = requireNonNull(configuration, "configuration");
    return this;
  }

  /**
   * Sets the clock.
   *
   * @param clock source of monotonic time
   * @return this builder
   */
  public MembershipManagerBuilder clock(MonotonicClock clock) {
    this.clock = requireNonNull(clock, "clock");
    return this;
  }

  /**
   * Sets the random source.
   *
   * @param random source of jitter and of the random order of probes
   * @return this builder
   */
  public MembershipManagerBuilder random(RandomGenerator random) {
    this.random = requireNonNull(random, "random");
    return this;
  }

  /**
   * Sets the journal.
   *
   * @param journal journal of decisions, for operators
   * @return this builder
   */
  public MembershipManagerBuilder journal(Journal journal) {
    this.journal = requireNonNull(journal, "journal");
    return this;
  }

  /**
   * Sets the metrics.
   *
   * @param meters registry of metrics
   * @return this builder
   */
  public MembershipManagerBuilder meters(MeterRegistry meters) {
    this.meters = requireNonNull(meters, "meters");
    return this;
  }

  /**
   * Sets the list of VMs.
   *
   * @param vmList the platform's list of VMs
   * @return this builder
   */
  public MembershipManagerBuilder vmList(VmList vmList) {
    this.vmList = requireNonNull(vmList, "vmList");
    return this;
  }

  /**
   * Sets the ports.
   *
   * @param peerPort TCP port of the peer listener
   * @param callerPort TCP port of the listener for callers
   * @return this builder
   */
  public MembershipManagerBuilder ports(int peerPort, int callerPort) {
    this.peerPort = peerPort;
    this.callerPort = callerPort;
    return this;
  }

  /**
   * Sets the number of this process.
   *
   * @param incarnation number of this process, higher than that of every earlier process of the
   *     node; by default the wall clock in milliseconds
   * @return this builder
   */
  public MembershipManagerBuilder incarnation(long incarnation) {
    this.incarnation = incarnation;
    return this;
  }

  /**
   * Sets the seeds, which are asked for the roster while this node knows none.
   *
   * @param seeds peer addresses of other routers, each as {@code host:port}
   * @return this builder
   */
  public MembershipManagerBuilder seeds(List<String> seeds) {
    this.seeds = List.copyOf(seeds);
    return this;
  }

  /**
   * Sets the source of requests in flight. Without it, slots of ended loans are withheld for the
   * whole request deadline.
   *
   * @param inFlight returns the number of requests of an upstream that this node granted and that
   *     have not ended; safe on any thread, and counted before the slots are read
   * @return this builder
   */
  public MembershipManagerBuilder inFlight(ToIntFunction<UpstreamId> inFlight) {
    this.inFlight = requireNonNull(inFlight, "inFlight");
    return this;
  }

  Member member() {
    String address = requireNonNull(host, "host") + ":" + peerPort;
    NodeId id = self == null ? NodeId.of(address) : self;
    return new Member(id, host, peerPort, callerPort, domain, incarnation, false);
  }

  /**
   * Builds the manager.
   *
   * @return a manager that is not started yet, see {@link MembershipManager#start}
   */
  public MembershipManager build() {
    return new MembershipManager(this);
  }
}
