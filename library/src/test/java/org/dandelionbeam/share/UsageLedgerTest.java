package org.dandelionbeam.share;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class UsageLedgerTest {
  private static final ServiceId SERVICE = ServiceId.of(1);
  private static final TeamId TEAM = TeamId.of(2);
  private static final NodeId A = NodeId.of("a");
  private static final NodeId B = NodeId.of("b");
  private static final NodeId HOME = NodeId.of("home");
  private static final int MANY = 100;

  private UsageLedger ledgerOfA;
  private UsageLedger ledgerOfB;
  private TeamHome home;

  @BeforeMethod
  public void createLedgersAndHome() {
    ledgerOfA = UsageLedger.of();
    ledgerOfB = UsageLedger.of();
    home = TeamHome.of(1);
  }

  @Test
  public void onlyTeamsWithUsageSinceTheLastTickAreReported() {
    assertEquals(ledgerOfA.endTick(MANY), List.of());
    ledgerOfA.addUsage(SERVICE, TEAM, 5);
    ledgerOfA.addUsage(SERVICE, TEAM, 7.4);
    assertEquals(ledgerOfA.endTick(MANY), List.of(new ShareReport.Entry(SERVICE, TEAM, 12, 12, 0)));
    answer(ledgerOfA, A, report(ledgerOfA, List.of()));
    assertEquals(ledgerOfA.endTick(MANY), List.of());
  }

  @Test
  public void aTickReportsABoundedNumberAndTheRestLater() {
    for (int i = 0; i < 10; i++) {
      ledgerOfA.addUsage(SERVICE, TeamId.of(i), 1);
    }
    assertEquals(ledgerOfA.endTick(6).size(), 6);
    assertEquals(ledgerOfA.endTick(6).size(), 4);
  }

  @Test
  public void anUnansweredReportIsRepeatedAFewTimes() {
    ledgerOfA.addUsage(SERVICE, TEAM, 5);
    int reports = 0;
    for (int i = 0; i < 50; i++) {
      reports += ledgerOfA.endTick(MANY).size();
    }
    assertEquals(reports, 4);
  }

  @Test
  public void theUsageAtOtherOwnersCountsFromTheFirstAnswerOn() {
    exchange(ledgerOfA, A, 100);
    exchange(ledgerOfB, B, 10);
    assertEquals(
        ledgerOfB.remoteUsage(SERVICE, TEAM), 0.0, "usage before the first answer is not charged");
    exchange(ledgerOfA, A, 30);
    exchange(ledgerOfB, B, 10);
    assertEquals(ledgerOfB.remoteUsage(SERVICE, TEAM), 30.0);
    exchange(ledgerOfA, A, 1);
    assertEquals(ledgerOfA.remoteUsage(SERVICE, TEAM), 20.0, "all usage after the first answer");
  }

  @Test
  public void aCorrectionOfAnEstimateNeverLowersTheReportedCounter() {
    exchange(ledgerOfA, A, 100);
    ledgerOfA.addUsage(SERVICE, TEAM, -40);
    assertEquals(ledgerOfA.endTick(MANY).get(0).granted(), 100);
    ledgerOfA.addUsage(SERVICE, TEAM, 50);
    assertEquals(ledgerOfA.endTick(MANY).get(0).granted(), 110);
  }

  @Test
  public void lostRepeatedAndReorderedMessagesDoNoHarm() {
    exchange(ledgerOfA, A, 1);
    exchange(ledgerOfB, B, 1);
    ledgerOfA.addUsage(SERVICE, TEAM, 10);
    ShareReport older = report(ledgerOfA, ledgerOfA.endTick(MANY));
    ledgerOfA.addUsage(SERVICE, TEAM, 10);
    ShareReport newer = report(ledgerOfA, ledgerOfA.endTick(MANY));
    home.merge(A, newer, 0);
    home.merge(A, older, 0);
    home.merge(A, newer, 0);
    assertEquals(home.total(SERVICE, TEAM), 22);
    ledgerOfB.addUsage(SERVICE, TEAM, 1);
    ShareReport ofB = report(ledgerOfB, ledgerOfB.endTick(MANY));
    ShareTotals answer = home.merge(B, ofB, 0);
    ledgerOfB.applyTotals(HOME, answer);
    ledgerOfB.applyTotals(HOME, answer);
    assertEquals(ledgerOfB.remoteUsage(SERVICE, TEAM), 20.0);
  }

  @DataProvider
  Object[][] successors() {
    return new Object[][] {{HOME, "restarted empty"}, {NodeId.of("other"), "moved"}};
  }

  @Test(dataProvider = "successors")
  public void aHomeThatStartsEmptyGoesOnWhereTheLastOneStopped(NodeId successor, String name) {
    exchange(ledgerOfA, A, 100);
    exchange(ledgerOfB, B, 10);
    exchange(ledgerOfA, A, 5);
    double known = ledgerOfA.remoteUsage(SERVICE, TEAM);
    home = TeamHome.of(2);
    exchange(ledgerOfB, B, 10, successor);
    assertEquals(ledgerOfB.remoteUsage(SERVICE, TEAM), 0.0, "A's 5 are not known yet");
    exchange(ledgerOfA, A, 1, successor);
    exchange(ledgerOfB, B, 0, successor);
    assertEquals(ledgerOfB.remoteUsage(SERVICE, TEAM), 6.0, name);
    assertEquals(ledgerOfA.remoteUsage(SERVICE, TEAM), known + 10, name);
    assertEquals(home.total(SERVICE, TEAM), 126, name);
  }

  @Test
  public void aRouterThatLeftIsForgottenAndItsUsageStays() {
    exchange(ledgerOfA, A, 100);
    ledgerOfB.addUsage(SERVICE, TEAM, 10);
    home.merge(B, report(ledgerOfB, ledgerOfB.endTick(MANY)), 5);
    home.forget(List.of(A, B), 10, 11);
    assertEquals(home.size(), 2, "alive");
    home.forget(List.of(B), 10, 11);
    assertEquals(home.size(), 1, "left and quiet");
    assertEquals(home.total(SERVICE, TEAM), 110);
  }

  @Test
  public void aRestartedRouterCountsAnewAndItsLateReportsAreIgnored() {
    exchange(ledgerOfA, A, 100);
    home.forget(List.of(B), 10, 1);
    ShareReport restarted =
        new ShareReport(9, 1, List.of(new ShareReport.Entry(SERVICE, TEAM, 3, 3, 0)));
    assertEquals(home.merge(A, restarted, 0).totals().get(0).others(), 100);
    assertEquals(home.total(SERVICE, TEAM), 103);
    ShareReport late =
        new ShareReport(1, 9, List.of(new ShareReport.Entry(SERVICE, TEAM, 500, 500, 0)));
    home.merge(A, late, 0);
    assertEquals(home.total(SERVICE, TEAM), 103);
  }

  @Test
  public void teamsWithoutReportsAreForgotten() {
    exchange(ledgerOfA, A, 100);
    home.forget(List.of(A, B), 10, 11);
    assertEquals(home.size(), 0);
  }

  @Test
  public void aWaitingTeamIsPolledEveryFewTicks() {
    exchange(ledgerOfA, A, 1);
    exchange(ledgerOfB, B, 1);
    exchange(ledgerOfA, A, 50);
    int asked = 0;
    for (int i = 0; i < 16; i++) {
      assertTrue(i > 0 || !ledgerOfB.isPollDue(SERVICE, TEAM));
      ledgerOfB.poll(SERVICE, TEAM);
      List<ShareReport.Entry> entries = ledgerOfB.endTick(MANY);
      asked += entries.size();
      answer(ledgerOfB, B, report(ledgerOfB, entries));
    }
    assertEquals(asked, 3, "at ticks 4, 8 and 12 of 16");
    assertEquals(ledgerOfB.remoteUsage(SERVICE, TEAM), 50.0);
  }

  @Test
  public void usageAtOtherOwnersDuringAnIdlePeriodIsNotCharged() {
    exchange(ledgerOfA, A, 1);
    exchange(ledgerOfB, B, 1);
    exchange(ledgerOfA, A, 1_000);
    for (int i = 0; i < 130; i++) {
      ledgerOfB.endTick(MANY);
    }
    exchange(ledgerOfB, B, 1);
    assertEquals(ledgerOfB.remoteUsage(SERVICE, TEAM), 0.0);
  }

  private void exchange(UsageLedger ledger, NodeId node, double cost) {
    exchange(ledger, node, cost, HOME);
  }

  private void exchange(UsageLedger ledger, NodeId node, double cost, NodeId answering) {
    ledger.addUsage(SERVICE, TEAM, cost);
    ShareReport report = report(ledger, ledger.endTick(MANY));
    ledger.applyTotals(answering, home.merge(node, report, 0));
  }

  private void answer(UsageLedger ledger, NodeId node, ShareReport report) {
    ledger.applyTotals(HOME, home.merge(node, report, 0));
  }

  private static ShareReport report(UsageLedger ledger, List<ShareReport.Entry> entries) {
    return new ShareReport(1, ledger.tick(), entries);
  }
}
