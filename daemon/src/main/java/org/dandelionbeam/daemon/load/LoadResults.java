package org.dandelionbeam.daemon.load;

import java.util.Map;
import java.util.TreeMap;

/** Measurements of a load, per team and class. Confined to the event loop until the run ends. */
final class LoadResults implements RequestListener {
  private final Map<String, ClassResults> classes = new TreeMap<>();
  private final Map<String, FairnessGap> gaps = new TreeMap<>();
  private final long startNanos;
  private long endNanos;
  private long tokens;
  private long started;
  private long ended;

  LoadResults(long startNanos) {
    this.startNanos = startNanos;
    endNanos = startNanos;
  }

  void started(InFlightRequest inFlight) {
    started++;
    fairnessGapOf(inFlight).onStart(inFlight.spec().team(), System.nanoTime() - startNanos);
  }

  @Override
  public void onFirstToken(InFlightRequest inFlight, long nanos) {
    classOf(inFlight).firstToken(nanos);
  }

  @Override
  public void onNextToken(InFlightRequest inFlight, long nanos) {
    classOf(inFlight).betweenTokens(nanos);
  }

  @Override
  public void onEnd(InFlightRequest inFlight, Outcome outcome, long nowNanos) {
    ended++;
    endNanos = nowNanos;
    classOf(inFlight).ended(outcome, nowNanos - inFlight.intendedNanos());
    double usage = outcome.type() == Outcome.Type.ANSWERED ? inFlight.cost() : 0;
    tokens += inFlight.tokens();
    fairnessGapOf(inFlight).onEnd(inFlight.spec().team(), usage, nowNanos - startNanos);
  }

  long open() {
    return started - ended;
  }

  long started() {
    return started;
  }

  long tokens() {
    return tokens;
  }

  double seconds() {
    return Math.max(1, endNanos - startNanos) / 1e9;
  }

  Map<String, ClassResults> classes() {
    return classes;
  }

  Map<String, FairnessGap> gaps() {
    return gaps;
  }

  long count(Outcome.Type type) {
    return classes.values().stream().mapToLong(results -> results.count(type)).sum();
  }

  private ClassResults classOf(InFlightRequest inFlight) {
    RequestSpec spec = inFlight.spec();
    String name = spec.team().name() + " " + spec.kind().name();
    return classes.computeIfAbsent(name, key -> new ClassResults());
  }

  private FairnessGap fairnessGapOf(InFlightRequest inFlight) {
    return gaps.computeIfAbsent(inFlight.spec().kind().serviceName(), key -> new FairnessGap());
  }
}
