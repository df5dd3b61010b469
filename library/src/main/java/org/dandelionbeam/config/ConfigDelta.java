package org.dandelionbeam.config;

import static java.util.Objects.requireNonNull;

/**
 * Delta between the stored values of two revisions.
 *
 * @param from the older revision
 * @param to the newer revision
 * @param bytes encoded delta, see {@link ConfigCodec#delta}; must not be modified
 */
public record ConfigDelta(long from, long to, byte[] bytes) {

  /** Requires the bytes. */
  public ConfigDelta {
    requireNonNull(bytes, "bytes");
  }
}
