package org.dandelionbeam.share.wiring;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.dandelionbeam.base.MonotonicClock;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.membership.Ownership;
import org.dandelionbeam.peer.PeerNetwork;
import org.dandelionbeam.runtime.EventThread;
import org.dandelionbeam.share.ShareReport;
import org.dandelionbeam.share.ShareTotals;
import org.dandelionbeam.share.TeamHome;
import org.dandelionbeam.share.UsageLedger;

/**
 * Reports granted usage to the homes of the teams, and answers the reports for teams whose home is
 * this node.
 */
public final class ShareManager {
  private static final int REPORT_TYPE = 30;
  private static final int TOTALS_TYPE = 31;
  private static final int MAX_ENTRIES_PER_SECOND = 16;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(10);
  private static final Duration FORGET_PERIOD = Duration.ofMinutes(1);

  private final EventThread thread;
  private final PeerNetwork network;
  private final Ownership ownership;
  private final MonotonicClock clock;
  private final int incarnation;
  private final int maxEntriesPerTick;
  private final UsageLedger ledger = UsageLedger.of();
  private final TeamHome home;

  private ShareManager(Builder builder) {
    thread = requireNonNull(builder.thread, "thread");
    network = requireNonNull(builder.network, "network");
    ownership = requireNonNull(builder.ownership, "ownership");
    clock = builder.clock;
    incarnation = (int) builder.incarnation;
    double seconds = builder.interval.toNanos() / NANOS_PER_SECOND;
    maxEntriesPerTick = (int) Math.max(1, Math.ceil(MAX_ENTRIES_PER_SECOND * seconds));
    home = TeamHome.of(incarnation);
  }

  /**
   * Returns a builder.
   *
   * @return a builder with a report interval of half a second
   */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Adds usage that this node granted as an owner; safe on any thread.
   *
   * @param service the service
   * @param team the team
   * @param cost cost in the service's unit; a correction of an earlier estimate may be negative
   */
  public void addUsage(ServiceId service, TeamId team, double cost) {
    thread.execute(() -> ledger.addUsage(service, team, cost));
  }

  /**
   * Returns the usage that other owners granted to a team; safe on any thread.
   *
   * <p>A call also requests an update of the usage, so that it stays recent for teams with waiting
   * tickets.
   *
   * @param service the service
   * @param team the team
   * @return a sum that never decreases, 0 at first; only its growth is meaningful
   */
  public double remoteUsage(ServiceId service, TeamId team) {
    if (ledger.isPollDue(service, team)) {
      thread.offer(() -> ledger.poll(service, team));
    }
    return ledger.remoteUsage(service, team);
  }

  private void start(Duration interval) {
    network.register(REPORT_TYPE, ShareReport.class, this::reported);
    network.register(
        TOTALS_TYPE,
        ShareTotals.class,
        (from, totals) -> thread.offer(() -> ledger.applyTotals(from, totals)));
    thread.every(interval, this::tick);
    thread.every(FORGET_PERIOD, this::forgetIdle);
  }

  private void reported(NodeId from, ShareReport report) {
    thread.offer(() -> network.send(from, home.merge(from, report, clock.nanos())));
  }

  private void tick() {
    Map<NodeId, List<ShareReport.Entry>> byHome =
        ledger.endTick(maxEntriesPerTick).stream()
            .collect(Collectors.groupingBy(entry -> ownership.homeOf(entry.team())));
    byHome.forEach(
        (node, entries) ->
            network.send(node, new ShareReport(incarnation, ledger.tick(), entries)));
  }

  private void forgetIdle() {
    home.forget(ownership.aliveMembers(), IDLE_TIMEOUT.toNanos(), clock.nanos());
  }

  /** Builds a share manager. */
  public static final class Builder {
    private static final Duration DEFAULT_INTERVAL = Duration.ofMillis(500);

    private EventThread thread;
    private PeerNetwork network;
    private Ownership ownership;
    private Duration interval = DEFAULT_INTERVAL;
    private MonotonicClock clock = MonotonicClock.system();
    private long incarnation;

    private Builder() {}

    /**
     * Sets the thread.
     *
     * @param thread event thread of the manager
     * @return this builder
     */
    public Builder thread(EventThread thread) {
      this.thread = thread;
      return this;
    }

    /**
     * Sets the network.
     *
     * @param network network to the other routers
     * @return this builder
     */
    public Builder network(PeerNetwork network) {
      this.network = network;
      return this;
    }

    /**
     * Sets the source of teams' homes.
     *
     * @param ownership homes of teams as membership knows them
     * @return this builder
     */
    public Builder ownership(Ownership ownership) {
      this.ownership = ownership;
      return this;
    }

    /**
     * Sets the report interval.
     *
     * @param interval time between two reports
     * @return this builder
     */
    public Builder interval(Duration interval) {
      this.interval = requireNonNull(interval, "interval");
      return this;
    }

    /**
     * Sets the clock.
     *
     * @param clock source of monotonic time
     * @return this builder
     */
    public Builder clock(MonotonicClock clock) {
      this.clock = requireNonNull(clock, "clock");
      return this;
    }

    /**
     * Sets the incarnation.
     *
     * @param incarnation incarnation of this process; its low 32 bits differ from those of the last
     *     two processes of this node
     * @return this builder
     */
    public Builder incarnation(long incarnation) {
      this.incarnation = incarnation;
      return this;
    }

    /**
     * Builds and starts the manager.
     *
     * @return the running manager
     */
    public ShareManager start() {
      ShareManager manager = new ShareManager(this);
      manager.start(interval);
      return manager;
    }
  }
}
