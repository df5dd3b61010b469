package org.dandelionbeam.config;

import org.dandelionbeam.config.ConfigNode.Source;

/**
 * Error at one place of a configuration.
 *
 * @param file name of the file
 * @param line line number, starting at 1; 0 if unknown
 * @param path path of the invalid entry, such as {@code teams[library].weight}
 * @param expected description of a valid value
 * @param found description of the value found
 */
public record ConfigProblem(String file, int line, String path, String expected, String found) {

  /**
   * Creates a problem at a place in a file.
   *
   * @param source the place
   * @param path path of the invalid entry
   * @param expected description of a valid value
   * @param found description of the value found
   * @return the problem
   */
  public static ConfigProblem at(Source source, String path, String expected, String found) {
    return new ConfigProblem(source.file(), source.line(), path, expected, found);
  }

  /**
   * Formats the problem on one line.
   *
   * @return file, line, path, what was expected and what was found
   */
  public String message() {
    return file + ":" + line + ": " + path + ": expected " + expected + ", found " + found;
  }
}
