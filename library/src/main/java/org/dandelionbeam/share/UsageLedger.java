package org.dandelionbeam.share;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;

/**
 * Service that this node granted to each team as an owner, and what it learned of the other owners.
 *
 * <p>Only teams that were served or asked for since their last report are reported, a bounded
 * number each tick. Service of others is counted from the first answer on: what they granted before
 * this node had to do with the team, or while it had nothing to do with it for a while, is not
 * charged. Not thread-safe but for {@link #remoteUsage} and {@link #isPollDue}.
 */
public final class UsageLedger {
  private static final int POLL_TICKS = 4;
  private static final int RESEND_TICKS = 2;
  private static final int MAX_RESENDS = 3;
  private static final int MAX_IDLE_TICKS = 128;
  private static final int MAX_LOWER_ANSWERS = 8;

  private final Map<Key, Counter> counters = new ConcurrentHashMap<>();
  private final Set<Key> toReport = new LinkedHashSet<>();
  private final ArrayDeque<SentReport> unanswered = new ArrayDeque<>();
  private volatile long tick;

  private UsageLedger() {}

  /**
   * Returns an empty ledger.
   *
   * @return the ledger of a node that granted nothing yet
   */
  public static UsageLedger of() {
    return new UsageLedger();
  }

  /**
   * Counts service that this node granted.
   *
   * @param service the service
   * @param team the team
   * @param cost cost in the service's unit; a correction of an earlier estimate may be negative
   */
  public void addUsage(ServiceId service, TeamId team, double cost) {
    Key key = new Key(service, team);
    Counter counter = touch(key);
    counter.granted += cost;
    counter.resends = 0;
    toReport.add(key);
  }

  /**
   * Asks for the service of others to a team that waits here, at most every few ticks.
   *
   * @param service the service
   * @param team the team
   */
  public void poll(ServiceId service, TeamId team) {
    if (isPollDue(service, team)) {
      Key key = new Key(service, team);
      touch(key).resends = 0;
      toReport.add(key);
    }
  }

  /**
   * Tells whether {@link #poll} would have an effect; safe on any thread.
   *
   * @param service the service
   * @param team the team
   * @return true if the last report of the team is some ticks old
   */
  public boolean isPollDue(ServiceId service, TeamId team) {
    Counter counter = counters.get(new Key(service, team));
    return counter == null || tick - counter.reportedTick >= POLL_TICKS;
  }

  /**
   * Returns the service that other owners granted to a team; safe on any thread.
   *
   * @param service the service
   * @param team the team
   * @return a sum that never falls, 0 at first; only its growth has a meaning
   */
  public double remoteUsage(ServiceId service, TeamId team) {
    Counter counter = counters.get(new Key(service, team));
    return counter == null ? 0 : counter.remoteUsage;
  }

  /**
   * Ends a tick.
   *
   * @param maxEntries most entries to report; the rest stays for the next tick
   * @return the entries to report, for any home
   */
  public List<ShareReport.Entry> endTick(int maxEntries) {
    tick = tick + 1;
    resendUnanswered();
    List<ShareReport.Entry> entries = new ArrayList<>();
    Iterator<Key> keys = toReport.iterator();
    while (keys.hasNext() && entries.size() < maxEntries) {
      entries.add(report(keys.next()));
      keys.remove();
    }
    return entries;
  }

  /**
   * Returns the number of the last tick that ended.
   *
   * @return 0 before the first
   */
  public long tick() {
    return tick;
  }

  /**
   * Learns the answer of a home; an older or repeated one has no effect.
   *
   * @param home the sender
   * @param answer its totals
   */
  public void applyTotals(NodeId home, ShareTotals answer) {
    requireNonNull(home, "home");
    for (ShareTotals.Total total : answer.totals()) {
      Counter counter = counters.get(new Key(total.service(), total.team()));
      if (counter != null) {
        counter.apply(home, answer, total);
      }
    }
  }

  /**
   * Returns how many counters are kept.
   *
   * @return the count of services and teams
   */
  public int size() {
    return counters.size();
  }

  private Counter touch(Key key) {
    Counter counter = counters.computeIfAbsent(key, k -> new Counter());
    if (tick - counter.activeTick > MAX_IDLE_TICKS) {
      counter.home = null;
    }
    counter.activeTick = tick;
    return counter;
  }

  private ShareReport.Entry report(Key key) {
    Counter counter = counters.get(key);
    long granted = Math.max(counter.reported, Math.round(counter.granted));
    counter.reported = granted;
    counter.reportedTick = tick;
    unanswered.add(new SentReport(key, tick));
    return new ShareReport.Entry(
        key.service, key.team, granted, granted - counter.confirmed, counter.knownOthers());
  }

  private void resendUnanswered() {
    while (!unanswered.isEmpty() && tick - unanswered.peek().tick >= RESEND_TICKS) {
      SentReport sent = unanswered.poll();
      Counter counter = counters.get(sent.key);
      boolean lost = counter != null && counter.reportedTick == sent.tick && !counter.answered();
      if (lost && counter.resends < MAX_RESENDS) {
        counter.resends++;
        toReport.add(sent.key);
      }
    }
  }

  private record Key(ServiceId service, TeamId team) {}

  private record SentReport(Key key, long tick) {}

  /** Counter of one team on one service. */
  private static final class Counter {
    private double granted;
    private long reported;
    private long confirmed;
    private int resends;
    private long activeTick;
    private volatile long reportedTick = -POLL_TICKS;
    private long answeredTick = -POLL_TICKS;
    private NodeId home;
    private int homeIncarnation;
    private long others;
    private int baselineChanges;
    private int lowerAnswers;
    private boolean atFirstHome;
    private volatile double remoteUsage;

    boolean answered() {
      return answeredTick >= reportedTick;
    }

    long knownOthers() {
      return home == null ? 0 : others;
    }

    void apply(NodeId from, ShareTotals answer, ShareTotals.Total total) {
      if (answer.tick() == reportedTick) {
        confirmed = reported;
      }
      if (answer.tick() <= answeredTick) {
        return;
      }
      answeredTick = answer.tick();
      boolean sameHome = from.equals(home) && homeIncarnation == answer.incarnation();
      boolean first = home == null;
      boolean liftedForOthers =
          sameHome && atFirstHome && total.baselineChanges() != baselineChanges;
      if (first || liftedForOthers) {
        others = total.others();
      } else {
        advance(total.others());
      }
      atFirstHome = first || (sameHome && atFirstHome);
      home = from;
      homeIncarnation = answer.incarnation();
      baselineChanges = total.baselineChanges();
    }

    /** A home that answers less for long will not catch up, so counting starts anew from there. */
    private void advance(long answered) {
      lowerAnswers = answered < others ? lowerAnswers + 1 : 0;
      if (answered > others) {
        remoteUsage += answered - others;
        others = answered;
      } else if (lowerAnswers >= MAX_LOWER_ANSWERS) {
        others = answered;
        lowerAnswers = 0;
      }
    }
  }
}
