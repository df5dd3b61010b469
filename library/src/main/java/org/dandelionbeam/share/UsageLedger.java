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
 * Usage that this node granted to each team as an owner, and usage that it learned from the homes
 * about the other owners.
 *
 * <p>A tick reports a bounded number of teams: those with usage or a poll since their last report.
 * Usage at other owners counts from the first answer on. Usage from before the team had tickets or
 * usage at this node, or from a longer time without them, is not charged. Not thread-safe, except
 * {@link #remoteUsage} and {@link #isPollDue}.
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
   * @return a ledger without usage
   */
  public static UsageLedger of() {
    return new UsageLedger();
  }

  /**
   * Adds usage that this node granted.
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
   * Requests the usage of a waiting team at other owners, unless the team was reported in the last
   * few ticks.
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
   * Tells whether {@link #poll} would request the usage; safe on any thread.
   *
   * @param service the service
   * @param team the team
   * @return true if the team was not reported in the last few ticks
   */
  public boolean isPollDue(ServiceId service, TeamId team) {
    Counter counter = counters.get(new Key(service, team));
    return counter == null || tick - counter.reportedTick >= POLL_TICKS;
  }

  /**
   * Returns the usage that other owners granted to a team; safe on any thread.
   *
   * @param service the service
   * @param team the team
   * @return a sum that never decreases, 0 at first; only its growth is meaningful
   */
  public double remoteUsage(ServiceId service, TeamId team) {
    Counter counter = counters.get(new Key(service, team));
    return counter == null ? 0 : counter.remoteUsage;
  }

  /**
   * Ends a tick and returns the entries to report.
   *
   * @param maxEntries most entries to return; the others follow in the next tick
   * @return the entries to report to the homes of their teams
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
   * Applies the answer of a home; an older or repeated answer has no effect.
   *
   * @param home node that sent the answer
   * @param answer totals of the reported teams
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
   * Returns the number of counters kept.
   *
   * @return the number of pairs of a service and a team
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

  /** Usage of one team on one service, granted here and at other owners. */
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

    /**
     * Adds the growth of the usage at other owners. After several lower answers in a row the home
     * will not catch up, so growth is then counted from its lower total.
     */
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
