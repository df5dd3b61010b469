package org.dandelionbeam.daemon.bench;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.LongStream;
import org.dandelionbeam.daemon.load.Outcome;
import org.dandelionbeam.daemon.load.Sample;

/** Samples of a load, with filters and totals. */
record Samples(List<Sample> all) {

  /** Returns the last attempt of each request. */
  Samples lastAttempts() {
    Map<String, Sample> last = new LinkedHashMap<>();
    for (Sample sample : all) {
      last.merge(
          sample.id(), sample, (one, other) -> one.attempt() > other.attempt() ? one : other);
    }
    return new Samples(List.copyOf(last.values()));
  }

  Samples matching(Predicate<Sample> condition) {
    return new Samples(all.stream().filter(condition).toList());
  }

  Samples intendedIn(long fromNanos, long toNanos) {
    return matching(s -> s.intendedNanos() - fromNanos >= 0 && s.intendedNanos() - toNanos < 0);
  }

  Samples unanswered() {
    return matching(sample -> !sample.isAnswered());
  }

  Samples wrong() {
    return matching(sample -> sample.outcome().type() == Outcome.Type.WRONG);
  }

  int count() {
    return all.size();
  }

  double answeredShare() {
    return all.isEmpty() ? 0 : (double) matching(Sample::isAnswered).count() / count();
  }

  double firstTokenPercentileMillis(double percent) {
    long[] sorted = firstTokenNanos().filter(nanos -> nanos > 0).sorted().toArray();
    int index = (int) Math.ceil(percent / 100 * sorted.length) - 1;
    return sorted.length == 0 ? 0 : sorted[Math.max(0, index)] / 1e6;
  }

  /** Counts the unanswered samples by kind of request, code and verdict. */
  Map<String, Long> countUnansweredByCode() {
    Map<String, Long> codes = new TreeMap<>();
    unanswered()
        .all
        .forEach(
            sample -> {
              Outcome outcome = sample.outcome();
              String name = sample.kind() + " " + outcome.code() + " " + outcome.verdict();
              codes.merge(name.strip(), 1L, Long::sum);
            });
    return codes;
  }

  /** Counts the bookings that a ledger ran although their refusal says NOT_RUN. */
  static long countFalseNotRun(Collection<Sample> last, SiteTrial trial) {
    return last.stream()
        .filter(sample -> sample.outcome().verdict().equals("NOT_RUN"))
        .filter(sample -> sample.kind().endsWith(SiteTrial.BOOKING))
        .filter(sample -> trial.runsOfBooking(sample.id()) > 0)
        .count();
  }

  private LongStream firstTokenNanos() {
    return all.stream().filter(Sample::isAnswered).mapToLong(Sample::firstTokenNanos);
  }
}
