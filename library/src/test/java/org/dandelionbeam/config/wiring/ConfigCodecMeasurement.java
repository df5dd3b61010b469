package org.dandelionbeam.config.wiring;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.config.ConfigDocument;
import org.dandelionbeam.config.InternTable;

/**
 * Prints the sizes of stored values and deltas and the times to decode and patch them; run its main
 * method.
 */
public final class ConfigCodecMeasurement {
  private static final int RUNS = 101;
  private static final JsonConfigCodec CODEC = new JsonConfigCodec();

  private ConfigCodecMeasurement() {}

  public static void main(String[] arguments) {
    int[][] sizes = {{15, 12}, {610, 92}, {6_100, 920}};
    for (int[] size : sizes) {
      measure(size[0], size[1]);
    }
  }

  private static void measure(int teams, int engines) {
    String text = LargeConfig.yaml(teams, engines, 1);
    ConfigDocument document = JsonConfigCodecTest.document(text, InternTable.empty());
    byte[] stored = CODEC.encode(document);
    String changed = text.replaceFirst("name: team-7, weight: \\d+", "name: team-7, weight: 41");
    byte[] next = CODEC.encode(JsonConfigCodecTest.document(changed, document.table()));
    byte[] delta = CODEC.delta(stored, next).orElseThrow();
    System.out.printf(
        "%d teams %d engines: stored %d bytes, delta %d bytes, decode %.1f ms, delta %.1f ms,"
            + " patch %.1f ms (medians of %d)%n",
        teams,
        engines,
        stored.length,
        delta.length,
        medianMillis(() -> CODEC.decode(stored, 1)),
        medianMillis(() -> CODEC.delta(stored, next)),
        medianMillis(() -> CODEC.patch(stored, delta)),
        RUNS);
  }

  private static double medianMillis(Runnable work) {
    long[] nanos = new long[RUNS];
    for (int i = 0; i < RUNS; i++) {
      long start = System.nanoTime();
      work.run();
      nanos[i] = System.nanoTime() - start;
    }
    Arrays.sort(nanos);
    return nanos[RUNS / 2] / (double) TimeUnit.MILLISECONDS.toNanos(1);
  }
}
