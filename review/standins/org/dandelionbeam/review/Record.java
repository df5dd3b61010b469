package org.dandelionbeam.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line for each thing that a client, an engine or the store has seen. */
final class Record implements AutoCloseable {
  private static final double NANOS_PER_SECOND = 1e9;

  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  private Record(PrintWriter out) {
    this.out = out;
  }

  /** Opens the record of a case in its folder. */
  static Record in(Path folder) throws IOException {
    Path file = folder.resolve("record.txt");
    return new Record(new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true));
  }

  /** Writes a line with the time since the start of the run. */
  synchronized void line(String format, Object... arguments) {
    double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    out.println(
        String.format(Locale.ROOT, "%8.3f ", seconds)
            + String.format(Locale.ROOT, format, arguments));
  }

  /** Writes a line to the record and to standard output. */
  void result(String format, Object... arguments) {
    line(format, arguments);
    System.out.println(String.format(Locale.ROOT, format, arguments));
  }

  @Override
  public void close() {
    out.close();
  }
}
