package org.dandelionbeam.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start. Thread-safe. */
final class Recorder implements AutoCloseable {
  private static final double NANOS_PER_SECOND = 1e9;

  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Recorder(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  /** Writes a line. */
  synchronized void line(String format, Object... values) {
    double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    out.printf("%8.3f ", seconds);
    out.printf(format, values);
    out.println();
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
