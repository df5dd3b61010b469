package org.dandelionbeam.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.dispatch.DispatchPort.Grant;
import org.dandelionbeam.dispatch.DispatchPort.Outcome;
import org.dandelionbeam.dispatch.DispatchPort.Refusal;
import org.dandelionbeam.upstream.ExchangeFault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RequestFlowTest {
  private static final RequestId REQUEST = RequestId.of("r");
  private static final UpstreamId UPSTREAM = UpstreamId.of(1);
  private static final long DEADLINE = 1_000;

  private static RequestFlow flow(boolean idempotent, RetryBudget budget) {
    RequestDescriptor plan =
        new RequestDescriptor(
            REQUEST,
            TeamId.of(1),
            ServiceId.of(1),
            0,
            idempotent,
            Optional.empty(),
            0,
            0,
            DEADLINE);
    return RequestFlow.of(plan, budget, new SplittableRandom(1));
  }

  private static RequestFlow sent(boolean idempotent) {
    RequestFlow flow = flow(idempotent, RetryBudget.of(0.1));
    flow.start();
    flow.granted(grant(1), 0);
    return flow;
  }

  private static Grant grant(int attempt) {
    return new Grant(REQUEST, attempt, UPSTREAM, Duration.ofSeconds(1));
  }

  @DataProvider
  Object[][] faultsAndKinds() {
    return java.util.Arrays.stream(ExchangeFault.values())
        .flatMap(fault -> List.of(new Object[] {fault, true}, new Object[] {fault, false}).stream())
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "faultsAndKinds")
  public void failedRetriesOnlyWhatMayBeSentAgain(ExchangeFault fault, boolean idempotent) {
    RequestFlow flow = sent(idempotent);
    List<FlowAction> actions = flow.failed(fault, 10);
    boolean retried = actions.stream().anyMatch(FlowAction.Submit.class::isInstance);
    assertEquals(retried, fault.verdict().mayBeSentAgain(idempotent));
    assertTrue(actions.get(0) instanceof FlowAction.Complete);
    if (!retried) {
      FlowAction.Fail fail = (FlowAction.Fail) actions.get(1);
      assertEquals(fail.verdict(), Verdict.MAY_HAVE_RUN);
      assertTrue(flow.isOver());
    }
  }

  @Test
  public void failedStopsWhenTheRetryBudgetIsUsedUp() {
    RetryBudget budget = RetryBudget.of(0);
    while (budget.tryAcquire()) {
      assertTrue(true);
    }
    RequestFlow flow = flow(true, budget);
    flow.start();
    flow.granted(grant(1), 0);
    FlowAction last = flow.failed(ExchangeFault.CONNECT_FAILED, 10).get(1);
    assertEquals(((FlowAction.Fail) last).verdict(), Verdict.NOT_RUN);
  }

  @Test
  public void failedAvoidsTheUpstreamInTheNextTicket() {
    RequestFlow flow = sent(false);
    FlowAction.Submit next =
        (FlowAction.Submit) flow.failed(ExchangeFault.CONNECT_FAILED, 10).get(1);
    assertTrue(next.ticket().avoid().contains(UPSTREAM));
    assertEquals(next.ticket().attempt(), 2);
  }

  @Test
  public void refusedKeepsTheVerdictOfEarlierAttempts() {
    RequestFlow flow = sent(true);
    flow.failed(ExchangeFault.CONNECTION_LOST, 10);
    Refusal refusal = new Refusal(ErrorCode.QUEUE_FULL, "full", Duration.ofSeconds(2));
    FlowAction.Fail fail = (FlowAction.Fail) flow.refused(refusal, 2).get(0);
    assertEquals(fail.verdict(), Verdict.MAY_HAVE_RUN);
    assertEquals(fail.retryAfter(), Duration.ofSeconds(2));
  }

  @Test
  public void grantedGivesBackAGrantThatIsNotWantedAnyMore() {
    RequestFlow flow = sent(true);
    FlowAction.Complete back = (FlowAction.Complete) flow.granted(grant(1), 5).get(0);
    assertEquals(back.completion().outcome(), Outcome.ABANDONED);
    RequestFlow gone = flow(true, RetryBudget.of(0.1));
    gone.start();
    gone.callerGone(0, 1);
    assertTrue(gone.granted(grant(1), 5).get(0) instanceof FlowAction.Complete);
  }

  @Test
  public void callerThatLeavesARunningRequestDoesNotMakeItNotRun() {
    RequestFlow queued = flow(false, RetryBudget.of(0.1));
    queued.start();
    queued.callerGone(0, 5);
    assertEquals(queued.verdict(), Verdict.NOT_RUN);
    RequestFlow running = sent(false);
    running.callerGone(0, 5);
    assertEquals(running.verdict(), Verdict.MAY_HAVE_RUN);
  }

  @Test
  public void deadlinePassedSaysNotRunOnlyWhileQueued() {
    RequestFlow queued = flow(false, RetryBudget.of(0.1));
    queued.start();
    FlowAction.Fail early = (FlowAction.Fail) queued.deadlinePassed(DEADLINE).get(1);
    assertEquals(early.verdict(), Verdict.NOT_RUN);
    FlowAction.Fail late = (FlowAction.Fail) sent(false).deadlinePassed(DEADLINE).get(2);
    assertEquals(late.verdict(), Verdict.MAY_HAVE_RUN);
  }

  @Test
  public void streamBrokeResumesAfterTheLastOffsetUntilTheBoundThenFails() {
    RequestFlow flow = sent(true);
    flow.responseAccepted();
    int resumes = 0;
    List<FlowAction> actions = flow.streamBroken(ExchangeFault.CONNECTION_LOST, 3, 10);
    while (actions.get(0) instanceof FlowAction.Resume resume) {
      assertEquals(resume.afterOffset(), 3);
      resumes++;
      actions = flow.streamBroken(ExchangeFault.CONNECTION_LOST, 3, 10);
    }
    assertEquals(resumes, 8);
    assertEquals(((FlowAction.Fail) actions.get(1)).code(), ErrorCode.STREAM_BROKEN);
  }

  @Test
  public void everyFlowGivesItsSlotBackExactlyOnce() {
    SplittableRandom random = new SplittableRandom(7);
    for (int run = 0; run < 2_000; run++) {
      RequestFlow flow = flow(random.nextBoolean(), RetryBudget.of(0.1));
      int open = 0;
      int attempt = 1;
      flow.start();
      for (int step = 0; step < 12; step++) {
        List<FlowAction> actions = randomStep(flow, attempt, random);
        for (FlowAction action : actions) {
          if (action instanceof FlowAction.Send) {
            open++;
          } else if (action instanceof FlowAction.Complete) {
            open--;
          } else if (action instanceof FlowAction.Submit submit) {
            attempt = submit.ticket().attempt();
          }
        }
        assertTrue(open == 0 || open == 1, "open slots " + open);
      }
      flow.callerGone(0, 50);
      assertTrue(flow.isOver());
    }
  }

  private static List<FlowAction> randomStep(
      RequestFlow flow, int attempt, SplittableRandom random) {
    ExchangeFault[] faults = ExchangeFault.values();
    return switch (random.nextInt(6)) {
      case 0 -> flow.isRunning() || flow.isOver() ? List.of() : flow.granted(grant(attempt), 1);
      case 1 -> flow.failed(faults[random.nextInt(faults.length)], 20);
      case 2 -> flow.responseAccepted();
      case 3 -> flow.streamBroken(ExchangeFault.CONNECTION_LOST, 1, 20);
      case 4 -> flow.responseCompleted(5, 30);
      default -> List.of();
    };
  }
}
