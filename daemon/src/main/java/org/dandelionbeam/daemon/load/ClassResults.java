package org.dandelionbeam.daemon.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Latencies and outcomes of one class, which is one kind of request of one team. */
final class ClassResults {
  private static final long MAX_MICROS = 3_600_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final int NANOS_PER_MICRO = 1_000;

  private final Histogram firstToken = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram betweenTokens = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private final Histogram total = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);
  private final Map<Outcome.Type, Long> counts = new EnumMap<>(Outcome.Type.class);
  private final Map<String, Long> codes = new TreeMap<>();
  private final Map<String, Long> verdicts = new TreeMap<>();

  void firstToken(long nanos) {
    record(firstToken, nanos);
  }

  void betweenTokens(long nanos) {
    record(betweenTokens, nanos);
  }

  void ended(Outcome outcome, long nanos) {
    counts.merge(outcome.type(), 1L, Long::sum);
    if (outcome.type() == Outcome.Type.ANSWERED) {
      record(total, nanos);
    } else {
      codes.merge(outcome.code(), 1L, Long::sum);
    }
    if (outcome.type() == Outcome.Type.REFUSED) {
      verdicts.merge(outcome.verdict(), 1L, Long::sum);
    }
  }

  long count(Outcome.Type type) {
    return counts.getOrDefault(type, 0L);
  }

  Histogram firstToken() {
    return firstToken;
  }

  Histogram betweenTokens() {
    return betweenTokens;
  }

  Histogram total() {
    return total;
  }

  Map<String, Long> codes() {
    return codes;
  }

  Map<String, Long> verdicts() {
    return verdicts;
  }

  private static void record(Histogram histogram, long nanos) {
    histogram.recordValue(Math.min(MAX_MICROS, Math.max(0, nanos / NANOS_PER_MICRO)));
  }
}
