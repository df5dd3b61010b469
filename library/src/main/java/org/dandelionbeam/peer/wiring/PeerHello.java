package org.dandelionbeam.peer.wiring;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import org.dandelionbeam.base.NodeId;

/**
 * Handshake frame: protocol version, nonce, proof and the sender's name.
 *
 * @param nonce random bytes that the sender created for this connection
 * @param proof HMAC over both nonces and the sender's name; zeros in the client's first hello
 * @param node id of the sender
 */
record PeerHello(byte[] nonce, byte[] proof, NodeId node) {
  static final int VERSION = 1;
  static final int NONCE_BYTES = 16;
  static final int PROOF_BYTES = 32;
  private static final int MAX_NAME_BYTES = 255;
  private static final SecureRandom RANDOM = new SecureRandom();

  static byte[] newNonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    RANDOM.nextBytes(nonce);
    return nonce;
  }

  ByteBuf encode() {
    byte[] name = node.name().getBytes(StandardCharsets.UTF_8);
    ByteBuf out = Unpooled.buffer(1 + NONCE_BYTES + PROOF_BYTES + name.length);
    out.writeByte(VERSION);
    out.writeBytes(nonce);
    out.writeBytes(proof);
    out.writeBytes(name);
    return out;
  }

  static PeerHello decode(ByteBuf in) {
    int nameBytes = in.readableBytes() - 1 - NONCE_BYTES - PROOF_BYTES;
    if (nameBytes < 1 || nameBytes > MAX_NAME_BYTES || in.readByte() != VERSION) {
      throw new IllegalArgumentException("malformed hello or unsupported protocol version");
    }
    byte[] nonce = new byte[NONCE_BYTES];
    byte[] proof = new byte[PROOF_BYTES];
    in.readBytes(nonce);
    in.readBytes(proof);
    String name = in.toString(in.readerIndex(), nameBytes, StandardCharsets.UTF_8);
    in.skipBytes(nameBytes);
    return new PeerHello(nonce, proof, NodeId.of(name));
  }
}
