package org.dandelionbeam.daemon.session;

import java.util.Locale;
import java.util.Map;

/**
 * Writes the fault matrix as a page: one table per kind, with a row per fault and a column per
 * step.
 */
final class MatrixTable {
  private MatrixTable() {}

  static String of(Map<Cell, CellResult> results) {
    StringBuilder page = new StringBuilder();
    long tried = results.keySet().stream().filter(Cell::hasStep).count();
    long passed =
        results.values().stream()
            .filter(result -> result.cell().hasStep() && result.violations().isEmpty())
            .count();
    page.append("# Fault matrix, part one\n\n");
    page.append("Written by `FaultMatrixTest` (`-Dgolden.rewrite=true` rewrites it). ");
    page.append("Cells tried: ").append(tried).append(", passed: ").append(passed).append(".\n\n");
    page.append(
        "Each cell sends one request to a router before two upstreams, lets one fault strike at"
            + " one step, and checks:\nthe caller gets its own whole answer or a coded problem;"
            + " the verdict agrees with what the upstreams counted;\na kind that may not be"
            + " repeated runs once at most; nothing stays open; the next request is answered.\n"
            + "Dispatch, claims and the platform are fakes at the entry's ports; upstream faults"
            + " strike the first upstream only.\n`-` marks a step that the kind does not have."
            + " `gone` and `killed` leave no caller to answer.\n");
    for (MatrixKind kind : MatrixKind.values()) {
      append(page, kind, results);
    }
    return page.toString();
  }

  private static void append(StringBuilder page, MatrixKind kind, Map<Cell, CellResult> results) {
    page.append("\n## ").append(words(kind)).append("\n\n| fault |");
    for (Step step : Step.values()) {
      page.append(' ').append(words(step)).append(" |");
    }
    page.append("\n| --- |").append(" --- |".repeat(Step.values().length)).append('\n');
    for (MatrixFault fault : MatrixFault.values()) {
      page.append("| ").append(words(fault)).append(" |");
      for (Step step : Step.values()) {
        CellResult result = results.get(new Cell(step, fault, kind));
        page.append(' ').append(result.outcome()).append(" |");
      }
      page.append('\n');
    }
  }

  private static String words(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
