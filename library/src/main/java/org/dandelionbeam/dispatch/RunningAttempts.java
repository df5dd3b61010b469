package org.dandelionbeam.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.dispatch.DispatchPort.Completion;
import org.dandelionbeam.dispatch.DispatchPort.Outcome;
import org.dandelionbeam.membership.Ownership;

/** Granted attempts of one entry, and the most recent ones that ended. */
final class RunningAttempts {
  private static final int MAX_RECENTLY_ENDED = 1024;
  private static final double COST_SMOOTHING = 0.05;
  private static final long NANOS_PER_MILLI = Duration.ofMillis(1).toNanos();
  private static final long NANOS_PER_MICRO = 1_000;

  private final Ownership ownership;
  private final DispatchMessage.Sink sink;
  private final Map<Long, RunningAttempt> byNumber = new HashMap<>();
  private final Map<Key, RunningAttempt> byKey = new HashMap<>();
  private final Map<ServiceId, Double> meanCost = new HashMap<>();
  private final Map<Long, DispatchMessage.Ended> recentlyEnded =
      new BoundedMap<>(MAX_RECENTLY_ENDED);

  RunningAttempts(Ownership ownership, DispatchMessage.Sink sink) {
    this.ownership = ownership;
    this.sink = sink;
  }

  void add(RunningAttempt attempt) {
    byNumber.put(attempt.number, attempt);
    byKey.put(new Key(attempt.request.request(), attempt.request.attempt()), attempt);
  }

  RunningAttempt find(long number) {
    return byNumber.get(number);
  }

  List<RunningAttempt> all() {
    return List.copyOf(byNumber.values());
  }

  int size() {
    return byNumber.size();
  }

  double meanCost(ServiceId service) {
    return meanCost.getOrDefault(service, 1.0);
  }

  void abandon(RequestId request, int attempt) {
    RunningAttempt found = byKey.get(new Key(request, attempt));
    if (found != null) {
      complete(new Completion(request, attempt, found.upstream, Outcome.ABANDONED, 0, 0, 0));
    }
  }

  /** Removes an attempt that ended and notifies every owner that may count it. */
  void complete(Completion completion) {
    RunningAttempt attempt = byKey.remove(new Key(completion.request(), completion.attempt()));
    if (attempt == null) {
      return;
    }
    byNumber.remove(attempt.number);
    DispatchMessage.Ended ended =
        new DispatchMessage.Ended(
            attempt.number,
            completion.outcome().ordinal(),
            (float) completion.cost(),
            (int) (completion.firstByteNanos() / NANOS_PER_MICRO),
            (int) (completion.elapsedNanos() / NANOS_PER_MICRO));
    recentlyEnded.put(attempt.number, ended);
    attempt.notifiedOwners.forEach(owner -> sink.send(owner, ended));
    if (completion.cost() > 0) {
      meanCost.merge(
          attempt.request.service(),
          completion.cost(),
          (mean, latest) -> mean + COST_SMOOTHING * (latest - mean));
    }
  }

  /** Answers an owner that counts an attempt; returns false if this entry knows no grant for it. */
  boolean answerReminder(NodeId owner, long number) {
    RunningAttempt attempt = byNumber.get(number);
    if (attempt != null) {
      attempt.countingOwners.add(owner);
      attempt.notifiedOwners.add(owner);
      sink.send(owner, new DispatchMessage.Used(number));
      return true;
    }
    DispatchMessage.Ended ended = recentlyEnded.get(number);
    if (ended != null) {
      sink.send(owner, ended);
    }
    return ended != null;
  }

  /**
   * Reports a running attempt to the present owner of its upstream. Returns false if that owner
   * counts it already; otherwise to be repeated until the owner sends a reminder of it, which shows
   * that it does.
   */
  boolean notifyOwner(RunningAttempt attempt, long nowNanos) {
    NodeId owner = ownership.ownerOf(attempt.upstream).orElse(null);
    if (owner == null || attempt.countingOwners.contains(owner)) {
      return false;
    }
    attempt.notifiedOwners.add(owner);
    long remaining = (attempt.request.deadlineNanos() - nowNanos) / NANOS_PER_MILLI;
    int millis = (int) Math.max(0, Math.min(Integer.MAX_VALUE, remaining));
    int team = attempt.request.team().number();
    sink.send(
        owner,
        new DispatchMessage.Carried(attempt.number, team, attempt.upstream.number(), millis));
    return true;
  }

  private record Key(RequestId request, int attempt) {}
}
