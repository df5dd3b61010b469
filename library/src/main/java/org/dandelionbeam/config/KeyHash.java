package org.dandelionbeam.config;

import static java.util.Objects.requireNonNull;

import org.apache.commons.codec.digest.HmacAlgorithms;
import org.apache.commons.codec.digest.HmacUtils;

/**
 * Salted hash of an API key: HMAC-SHA-256 with the salt's hexadecimal text as the HMAC key.
 *
 * @param salt salt of the configuration, in hexadecimal
 * @param hash hash of the API key, in hexadecimal
 */
public record KeyHash(String salt, String hash) {

  /** Requires both components. */
  public KeyHash {
    requireNonNull(salt, "salt");
    requireNonNull(hash, "hash");
  }

  /**
   * Hashes an API key.
   *
   * @param salt salt in hexadecimal
   * @param key the API key in plain text
   * @return the salted hash
   */
  public static KeyHash of(String salt, String key) {
    return new KeyHash(salt, new HmacUtils(HmacAlgorithms.HMAC_SHA_256, salt).hmacHex(key));
  }
}
