package org.dandelionbeam.daemon;

import org.dandelionbeam.base.ErrorCode;

/**
 * A missing or invalid setting.
 *
 * @param name flag, environment variable or positional argument
 * @param found value in quotes, or a description of what was found
 * @param expected what would be right
 */
public record SettingProblem(String name, String found, String expected) {

  /**
   * Returns a problem with a value that is not secret.
   *
   * @param name flag, environment variable or positional argument
   * @param value the invalid value
   * @param expected what would be right
   * @return the problem
   */
  public static SettingProblem ofValue(String name, String value, String expected) {
    return new SettingProblem(name, "\"" + value + "\"", expected);
  }

  /**
   * Formats the problem on one line.
   *
   * @return code, name, what was found and what was expected
   */
  public String message() {
    return ErrorCode.INVALID_SETTING + " " + name + ": found " + found + ", expected " + expected;
  }
}
