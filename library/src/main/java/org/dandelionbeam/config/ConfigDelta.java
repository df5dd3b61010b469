package org.dandelionbeam.config;

import static java.util.Objects.requireNonNull;

/**
 * Delta from one revision to another.
 *
 * @param from the older revision
 * @param to the newer revision
 * @param bytes the delta; nobody changes it
 */
public record ConfigDelta(long from, long to, byte[] bytes) {

  /** Checks that the bytes are there. */
  public ConfigDelta {
    requireNonNull(bytes, "bytes");
  }
}
