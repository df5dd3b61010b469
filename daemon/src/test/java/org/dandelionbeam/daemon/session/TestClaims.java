package org.dandelionbeam.daemon.session;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.entry.ClaimPort;

/** In-memory claims that can be unavailable, slow, or lose responses. */
class TestClaims implements ClaimPort {
  private static final Executor DELAYED_EXECUTOR =
      CompletableFuture.delayedExecutor(50, TimeUnit.MILLISECONDS);

  private final Map<String, RequestId> holders = new HashMap<>();
  private final Map<String, Verdict> outcomes = new HashMap<>();
  private final Consumer<Step> reached;
  private boolean unavailable;
  private boolean slow;
  private boolean answersLost;

  TestClaims() {
    this(step -> {});
  }

  TestClaims(Consumer<Step> reached) {
    this.reached = reached;
  }

  @Override
  public synchronized void claim(
      TeamId team, ServiceId service, String key, RequestId request, Consumer<Answer> answer) {
    reached.accept(Step.CLAIM);
    Answer decided = decide(team + "/" + service + "/" + key, request);
    if (slow) {
      DELAYED_EXECUTOR.execute(() -> answer.accept(decided));
    } else {
      answer.accept(decided);
    }
  }

  @Override
  public synchronized void finished(
      TeamId team, ServiceId service, String key, RequestId request, Verdict verdict, int status) {
    String name = team + "/" + service + "/" + key;
    if (verdict == Verdict.NOT_RUN) {
      holders.remove(name, request);
    } else {
      outcomes.put(name, verdict);
    }
  }

  synchronized void unavailable(boolean out) {
    unavailable = out;
  }

  /** Makes claims take effect although the claimer is told that they could not be written. */
  synchronized void loseAnswers(boolean lost) {
    answersLost = lost;
  }

  synchronized void slow(boolean slowly) {
    slow = slowly;
  }

  /** Ends all faults. */
  synchronized void heal() {
    unavailable = false;
    answersLost = false;
    slow = false;
  }

  private Answer decide(String name, RequestId request) {
    if (unavailable) {
      return refused(ErrorCode.CLAIM_UNAVAILABLE, Verdict.NOT_RUN);
    }
    RequestId holder = holders.putIfAbsent(name, request);
    if (answersLost) {
      return refused(ErrorCode.CLAIM_UNAVAILABLE, Verdict.NOT_RUN);
    }
    return holder == null
        ? new Answer.Claimed()
        : refused(
            ErrorCode.ALREADY_CLAIMED,
            Optional.ofNullable(outcomes.get(name)).orElse(Verdict.MAY_HAVE_RUN));
  }

  private static Answer refused(ErrorCode code, Verdict verdict) {
    return new Answer.Refused(code, "refused by the test", verdict);
  }
}
