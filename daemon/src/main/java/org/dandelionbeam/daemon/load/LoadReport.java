package org.dandelionbeam.daemon.load;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Formats the results of a load as text and as JSON. */
final class LoadReport {
  private static final double MICROS_PER_MILLI = 1_000;
  private static final double[] PERCENTILES = {50, 90, 95, 99, 99.9};

  private final LoadOptions options;
  private final LoadResults results;

  LoadReport(LoadOptions options, LoadResults results) {
    this.options = options;
    this.results = results;
  }

  void print(PrintStream out) {
    line(
        out,
        "%d requests in %.2f s at %.0f/s (seed %d): %.1f answered/s, %.0f tokens/s",
        results.started(),
        results.seconds(),
        options.rate(),
        options.seed(),
        results.count(Outcome.Type.ANSWERED) / results.seconds(),
        results.tokens() / results.seconds());
    for (Outcome.Type type : Outcome.Type.values()) {
      line(out, "%-10s %d", type.name().toLowerCase(Locale.ROOT), results.count(type));
    }
    line(
        out,
        "%n%-26s %9s %8s %8s %8s %8s",
        "ms from intended start",
        "n",
        "p50",
        "p95",
        "p99",
        "max");
    results.classes().forEach((name, result) -> printClass(out, name, result));
    results
        .gaps()
        .forEach(
            (service, gap) ->
                line(
                    out,
                    "fairness gap on %s: %.1f weighted cost units over %d windows",
                    service,
                    gap.largest(),
                    gap.comparedWindows()));
  }

  ObjectNode json() {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    root.put("requests", results.started()).put("seconds", results.seconds());
    root.put("rate", options.rate()).put("seed", options.seed());
    root.put("answeredPerSecond", results.count(Outcome.Type.ANSWERED) / results.seconds());
    root.put("tokensPerSecond", results.tokens() / results.seconds());
    ObjectNode outcomes = root.putObject("outcomes");
    for (Outcome.Type type : Outcome.Type.values()) {
      outcomes.put(type.name(), results.count(type));
    }
    ObjectNode classes = root.putObject("classes");
    results.classes().forEach((name, result) -> fill(classes.putObject(name), result));
    ObjectNode gaps = root.putObject("fairness");
    results
        .gaps()
        .forEach(
            (service, gap) ->
                gaps.putObject(service)
                    .put("gap", gap.largest())
                    .put("windows", gap.comparedWindows()));
    return root;
  }

  private static void printClass(PrintStream out, String name, ClassResults result) {
    printRow(out, name + " first token", result.firstToken());
    printRow(out, name + " between", result.betweenTokens());
    printRow(out, name + " total", result.total());
    if (!result.codes().isEmpty()) {
      line(out, "%s codes %s verdicts %s", name, result.codes(), result.verdicts());
    }
  }

  private static void printRow(PrintStream out, String name, Histogram histogram) {
    if (histogram.getTotalCount() > 0) {
      line(
          out,
          "%-26s %9d %8.2f %8.2f %8.2f %8.2f",
          name,
          histogram.getTotalCount(),
          millis(histogram, 50),
          millis(histogram, 95),
          millis(histogram, 99),
          histogram.getMaxValue() / MICROS_PER_MILLI);
    }
  }

  private static void fill(ObjectNode node, ClassResults result) {
    for (Outcome.Type type : Outcome.Type.values()) {
      node.put(type.name(), result.count(type));
    }
    fillCounts(node.putObject("codes"), result.codes());
    fillCounts(node.putObject("verdicts"), result.verdicts());
    fillMillis(node.putObject("firstTokenMillis"), result.firstToken());
    fillMillis(node.putObject("betweenTokensMillis"), result.betweenTokens());
    fillMillis(node.putObject("totalMillis"), result.total());
  }

  private static void fillCounts(ObjectNode node, Map<String, Long> counts) {
    counts.forEach(node::put);
  }

  private static void fillMillis(ObjectNode node, Histogram histogram) {
    node.put("count", histogram.getTotalCount());
    for (double percentile : PERCENTILES) {
      node.put("p" + percentile, millis(histogram, percentile));
    }
    node.put("max", histogram.getMaxValue() / MICROS_PER_MILLI);
  }

  private static double millis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  private static void line(PrintStream out, String format, Object... values) {
    out.println(String.format(Locale.ROOT, format, values));
  }
}
