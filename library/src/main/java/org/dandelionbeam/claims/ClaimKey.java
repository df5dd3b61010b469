package org.dandelionbeam.claims;

import static java.util.Objects.requireNonNull;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.DigestUtils;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;

/**
 * Digest of the idempotency key of a caller, its team and its service.
 *
 * @param high first 64 bits of the digest
 * @param low next 64 bits of the digest
 */
public record ClaimKey(long high, long low) {

  /**
   * Returns the digest of a key.
   *
   * @param team the caller's team
   * @param service the service
   * @param key idempotency key that the caller sent
   * @return the first 128 bits of a SHA-256 digest
   */
  public static ClaimKey of(TeamId team, ServiceId service, String key) {
    byte[] text = requireNonNull(key, "key").getBytes(StandardCharsets.UTF_8);
    ByteBuffer input = ByteBuffer.allocate(2 * Integer.BYTES + text.length);
    input.putInt(team.number()).putInt(service.number()).put(text);
    ByteBuffer digest = ByteBuffer.wrap(DigestUtils.sha256(input.array()));
    return new ClaimKey(digest.getLong(), digest.getLong());
  }

  /**
   * Returns the number of the bucket that stores the key.
   *
   * @param buckets number of buckets
   * @return a number from 0 to {@code buckets - 1}
   */
  public int bucket(int buckets) {
    return (int) Long.remainderUnsigned(high, buckets);
  }
}
