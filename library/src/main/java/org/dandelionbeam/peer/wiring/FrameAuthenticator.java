package org.dandelionbeam.peer.wiring;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import javax.crypto.Mac;
import org.apache.commons.codec.digest.HmacAlgorithms;
import org.apache.commons.codec.digest.HmacUtils;

/**
 * Creates and verifies the authentication tags of the frames in one direction of a peer connection.
 * A tag is the HMAC-SHA-256 over a sequence number and the frame, truncated to eight bytes.
 */
final class FrameAuthenticator {
  static final int TAG_BYTES = 8;

  private final Mac mac;
  private long sequence;

  private FrameAuthenticator(Mac mac) {
    this.mac = mac;
  }

  static FrameAuthenticator of(
      byte[] fleetKey, String direction, byte[] clientNonce, byte[] serverNonce) {
    byte[] sessionKey = proof(fleetKey, "session " + direction, clientNonce, serverNonce);
    return new FrameAuthenticator(
        HmacUtils.getInitializedMac(HmacAlgorithms.HMAC_SHA_256, sessionKey));
  }

  static byte[] proof(byte[] fleetKey, String purpose, byte[] first, byte[] second) {
    Mac proof = HmacUtils.getInitializedMac(HmacAlgorithms.HMAC_SHA_256, fleetKey);
    proof.update(purpose.getBytes(StandardCharsets.UTF_8));
    proof.update(first);
    return proof.doFinal(second);
  }

  byte[] tag(byte[] frame, int length) {
    mac.update(ByteBuffer.allocate(Long.BYTES).putLong(sequence++).array());
    mac.update(frame, 0, length);
    byte[] tag = new byte[TAG_BYTES];
    System.arraycopy(mac.doFinal(), 0, tag, 0, TAG_BYTES);
    return tag;
  }

  boolean verify(byte[] taggedFrame) {
    int length = taggedFrame.length - TAG_BYTES;
    if (length < 0) {
      return false;
    }
    byte[] received = new byte[TAG_BYTES];
    System.arraycopy(taggedFrame, length, received, 0, TAG_BYTES);
    return MessageDigest.isEqual(tag(taggedFrame, length), received);
  }
}
