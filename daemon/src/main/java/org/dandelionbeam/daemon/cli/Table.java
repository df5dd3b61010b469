package org.dandelionbeam.daemon.cli;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;

/** Formats rows of text in aligned columns. */
final class Table {
  private static final String GAP = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  private Table() {}

  /** Returns a table without rows. */
  static Table empty() {
    return new Table();
  }

  /** Adds a row; a shorter row leaves its last columns empty. */
  Table addRow(List<String> cells) {
    rows.add(List.copyOf(requireNonNull(cells, "cells")));
    return this;
  }

  /** Returns the rows as lines, each column as wide as its widest cell. */
  List<String> lines() {
    int columns = rows.stream().mapToInt(List::size).max().orElse(0);
    int[] widths = new int[columns];
    for (List<String> row : rows) {
      for (int i = 0; i < row.size(); i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    return rows.stream().map(row -> line(row, widths)).toList();
  }

  private static String line(List<String> row, int[] widths) {
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < row.size(); i++) {
      line.append(i == 0 ? "" : GAP).append(row.get(i));
      line.append(" ".repeat(widths[i] - row.get(i).length()));
    }
    return line.toString().stripTrailing();
  }
}
