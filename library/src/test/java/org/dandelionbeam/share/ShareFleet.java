package org.dandelionbeam.share;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;

/**
 * Owners of one service that serve the waiting team with the least usage; the test advances the
 * ticks.
 */
final class ShareFleet {
  static final ServiceId SERVICE = ServiceId.of(1);
  static final int MAX_COST = 20;

  private final SplittableRandom random;
  private final double loss;
  private final List<Owner> owners = new ArrayList<>();
  private final List<Delivery> delayed = new ArrayList<>();
  private final int teams;
  private int incarnations = 1;
  private TeamHome home = TeamHome.of(incarnations);
  private NodeId homeNode = NodeId.of("home");

  /** Delivery of a message in transit. */
  private record Delivery(Runnable action) {}

  /** One owner with the teams that wait at it. */
  final class Owner {
    private final NodeId node;
    private final List<TeamId> waiting;
    private final double[] granted = new double[teams];
    private final double[] counters = new double[teams];
    private UsageLedger ledger = UsageLedger.of();
    private int incarnation = ++incarnations;

    Owner(int number, List<TeamId> waiting) {
      this.node = NodeId.of("owner-" + number);
      this.waiting = waiting;
    }

    void serve(double work, boolean useRemoteUsage) {
      double done = 0;
      while (done < work) {
        TeamId next =
            waiting.stream()
                .min((a, b) -> Double.compare(usage(a, useRemoteUsage), usage(b, useRemoteUsage)))
                .orElseThrow();
        double cost = 1 + random.nextInt(MAX_COST);
        granted[next.number()] += cost;
        counters[next.number()] += cost;
        ledger.addUsage(SERVICE, next, cost);
        done += cost;
      }
    }

    void restartEmpty() {
      Arrays.fill(counters, 0);
      ledger = UsageLedger.of();
      incarnation = ++incarnations;
    }

    private double usage(TeamId team, boolean useRemoteUsage) {
      double own = counters[team.number()];
      return useRemoteUsage ? own + ledger.remoteUsage(SERVICE, team) : own;
    }

    private void report() {
      waiting.forEach(team -> ledger.poll(SERVICE, team));
      ShareReport report = new ShareReport(incarnation, ledger.tick() + 1, ledger.endTick(64));
      UsageLedger sender = ledger;
      send(
          () -> {
            ShareTotals totals = home.merge(node, report, report.tick() * 1_000_000_000L);
            NodeId answering = homeNode;
            send(() -> sender.applyTotals(answering, totals));
          });
    }
  }

  ShareFleet(int teams, double loss, int seed) {
    this.teams = teams;
    this.loss = loss;
    random = new SplittableRandom(seed);
  }

  Owner add(List<TeamId> waiting) {
    Owner owner = new Owner(owners.size(), waiting);
    owners.add(owner);
    return owner;
  }

  /**
   * Lets every owner grant usage and report it; reports and answers are lost, repeated and
   * reordered.
   */
  void tick(double work, boolean useRemoteUsage) {
    owners.forEach(owner -> owner.serve(work * (0.5 + random.nextDouble()), useRemoteUsage));
    owners.forEach(Owner::report);
    while (!delayed.isEmpty()) {
      delayed.remove(random.nextInt(delayed.size())).action().run();
    }
  }

  void rebuildHome() {
    home = TeamHome.of(++incarnations);
    homeNode = NodeId.of("home-" + incarnations);
  }

  double total(TeamId team) {
    return owners.stream().mapToDouble(owner -> owner.granted[team.number()]).sum();
  }

  private void send(Runnable delivery) {
    if (random.nextDouble() >= loss) {
      delayed.add(new Delivery(delivery));
      if (random.nextDouble() < loss / 2) {
        delayed.add(new Delivery(delivery));
      }
    }
  }
}
