package org.dandelionbeam.daemon.capacity;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Measured slopes by name, read from a file with one slope per line and fields separated by ';'.
 */
public final class Slopes {
  private static final int FIELDS = 6;

  private final Map<String, Slope> byId;

  private Slopes(Map<String, Slope> byId) {
    this.byId = byId;
  }

  /**
   * Reads slopes from a file.
   *
   * @param file the file; its first line names the fields
   * @return the slopes
   * @throws IllegalArgumentException if a line does not have six fields or a value is not a number
   */
  public static Slopes read(Path file) {
    try {
      Map<String, Slope> slopes = new LinkedHashMap<>();
      List<String> lines = Files.readAllLines(file);
      for (String line : lines.subList(1, lines.size())) {
        Slope slope = parse(line);
        slopes.put(slope.id(), slope);
      }
      return new Slopes(slopes);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Returns the value of a slope.
   *
   * @param id its name
   * @return the value
   * @throws IllegalArgumentException if the file has no slope of that name
   */
  public double value(String id) {
    Slope slope = byId.get(id);
    if (slope == null) {
      throw new IllegalArgumentException("the file of slopes has no slope " + id);
    }
    return slope.value();
  }

  /**
   * Returns all slopes.
   *
   * @return the slopes in the order of the file
   */
  public List<Slope> all() {
    return List.copyOf(byId.values());
  }

  private static Slope parse(String line) {
    String[] fields = line.split(";", -1);
    if (fields.length != FIELDS) {
      throw new IllegalArgumentException("expected six fields separated by ';' but found: " + line);
    }
    double value = Double.parseDouble(fields[1]);
    return new Slope(fields[0], value, fields[2], fields[3], fields[4], fields[5]);
  }
}
