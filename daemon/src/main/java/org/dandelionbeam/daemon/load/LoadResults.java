package org.dandelionbeam.daemon.load;

import java.util.Map;
import java.util.TreeMap;

/** Everything that was measured, per team and class. One thread writes. */
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

  void started(InFlightRequest flight) {
    started++;
    fairnessGapOf(flight).onStart(flight.spec().team(), System.nanoTime() - startNanos);
  }

  @Override
  public void onFirstToken(InFlightRequest flight, long nanos) {
    classOf(flight).firstToken(nanos);
  }

  @Override
  public void onNextToken(InFlightRequest flight, long nanos) {
    classOf(flight).betweenTokens(nanos);
  }

  @Override
  public void onEnd(InFlightRequest flight, Outcome outcome, long nowNanos) {
    ended++;
    endNanos = nowNanos;
    classOf(flight).ended(outcome, nowNanos - flight.intendedNanos());
    double usage = outcome.type() == Outcome.Type.ANSWERED ? flight.cost() : 0;
    tokens += flight.tokens();
    fairnessGapOf(flight).onEnd(flight.spec().team(), usage, nowNanos - startNanos);
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

  private ClassResults classOf(InFlightRequest flight) {
    RequestSpec shot = flight.spec();
    String name = shot.team().name() + " " + shot.kind().name();
    return classes.computeIfAbsent(name, key -> new ClassResults());
  }

  private FairnessGap fairnessGapOf(InFlightRequest flight) {
    return gaps.computeIfAbsent(flight.spec().kind().serviceName(), key -> new FairnessGap());
  }
}
