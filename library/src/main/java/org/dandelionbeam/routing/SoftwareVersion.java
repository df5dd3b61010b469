package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

/**
 * Version of the software of an upstream. Versions have no order; what two of them write doesn't
 * fit together.
 *
 * @param text the version, not blank
 */
public record SoftwareVersion(String text) {
  private static final int MAX_CHARS = 64;

  /** Marks a version that is known only to one start of an upstream. */
  private static final String UNKNOWN_PREFIX = "?";

  /**
   * Checks the version.
   *
   * @throws IllegalArgumentException if the version is blank
   */
  public SoftwareVersion {
    requireNonNull(text, "text");
    if (text.isBlank()) {
      throw new IllegalArgumentException("software version must not be blank");
    }
  }

  /**
   * Tells whether a text can be the version of an upstream's software.
   *
   * @param text the text
   * @return false if it is empty, too long, or has characters other than letters, digits, dots,
   *     plus and minus signs and underscores
   */
  public static boolean isValid(String text) {
    return text.length() <= MAX_CHARS && text.matches("[A-Za-z0-9._+-]+");
  }

  /**
   * Creates a version.
   *
   * @param text the version, not blank
   * @return the version
   */
  public static SoftwareVersion of(String text) {
    return new SoftwareVersion(text);
  }

  /**
   * Returns the version of an upstream that states none, which fits only to the same start of it.
   *
   * @param id identifier of the upstream
   * @param incarnation number of its start
   * @return a version that equals no stated one
   */
  public static SoftwareVersion unknown(InstanceId id, long incarnation) {
    long start = PromptProfile.hashOf(id.text() + "/" + incarnation);
    return new SoftwareVersion(UNKNOWN_PREFIX + Long.toHexString(start));
  }

  @Override
  public String toString() {
    return text;
  }
}
