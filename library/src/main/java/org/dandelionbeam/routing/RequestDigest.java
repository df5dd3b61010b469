package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;

/**
 * Identifies the requests that are the same in method, host, path, team and body, at whatever
 * router they arrive.
 *
 * @param value the first bytes of a cryptographic hash, so that callers can't choose it
 */
public record RequestDigest(long value) {
  private static final String ALGORITHM = "SHA-256";

  /**
   * Returns the digest of a request.
   *
   * @param fields what identifies it besides its body, in a fixed order
   * @param body the whole body
   * @return the digest
   */
  public static RequestDigest of(List<String> fields, ByteBuffer body) {
    requireNonNull(fields, "fields");
    requireNonNull(body, "body");
    MessageDigest digest = newDigest();
    for (String field : fields) {
      byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
      digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
      digest.update(bytes);
    }
    digest.update(body);
    return new RequestDigest(ByteBuffer.wrap(digest.digest()).getLong());
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance(ALGORITHM);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }

  @Override
  public String toString() {
    return Long.toHexString(value);
  }
}
