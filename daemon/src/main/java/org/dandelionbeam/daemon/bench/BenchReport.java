package org.dandelionbeam.daemon.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** Writes figures as a table, as CSV and as JSON. */
final class BenchReport {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private BenchReport() {}

  /** Prints a remark on a suite to standard error, with the load average of the machine. */
  static void printNote(String text) {
    double load = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    System.err.printf(Locale.ROOT, "%s (load average %.1f)%n", text, load);
  }

  static String formatLine(Figure figure) {
    String bound =
        switch (figure.target().kind()) {
          case AT_MOST -> "at most " + number(figure.target().bound());
          case AT_LEAST -> "at least " + number(figure.target().bound());
          case NONE -> "-";
        };
    String verdict = figure.holds() ? "" : "  MISSED";
    return "%-44s %14s %-8s %s%s"
        .formatted(figure.name(), number(figure.value()), figure.unit(), bound, verdict);
  }

  static void write(Path directory, List<Figure> figures) {
    try {
      Files.createDirectories(directory);
      Files.writeString(directory.resolve("figures.csv"), csv(figures));
      MAPPER
          .writerWithDefaultPrettyPrinter()
          .writeValue(directory.resolve("summary.json").toFile(), json(figures));
    } catch (IOException e) {
      throw new UncheckedIOException(
          "cannot write figures.csv and summary.json to directory " + directory, e);
    }
  }

  private static String csv(List<Figure> figures) {
    StringBuilder text = new StringBuilder("name,value,unit,target,bound,holds\n");
    for (Figure figure : figures) {
      String bound =
          figure.target().kind() == Figure.Target.Kind.NONE ? "" : "" + figure.target().bound();
      text.append(
          "%s,%s,%s,%s,%s,%s%n"
              .formatted(
                  figure.name(),
                  number(figure.value()),
                  figure.unit(),
                  figure.target().kind(),
                  bound,
                  figure.holds()));
    }
    return text.toString();
  }

  private static ObjectNode json(List<Figure> figures) {
    ObjectNode all = MAPPER.createObjectNode();
    for (Figure figure : figures) {
      ObjectNode one = all.putObject(figure.name());
      one.put("value", figure.value());
      one.put("unit", figure.unit());
      one.put("target", figure.target().kind().name());
      one.put("bound", figure.target().bound());
      one.put("holds", figure.holds());
    }
    return all;
  }

  private static String number(double value) {
    return String.format(Locale.ROOT, "%.4g", value);
  }
}
