package org.dandelionbeam.claims.wiring;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.claims.ClaimEntry;
import org.dandelionbeam.claims.ClaimKey;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** MessagePack codec of the entries of a bucket: format version, count, then each entry. */
final class BucketCodec {
  private static final int VERSION = 1;
  private static final ClaimEntry.State[] STATES = ClaimEntry.State.values();

  private BucketCodec() {}

  static byte[] encode(List<ClaimEntry> entries) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(VERSION).packArrayHeader(entries.size());
      for (ClaimEntry entry : entries) {
        packer
            .packLong(entry.key().high())
            .packLong(entry.key().low())
            .packLong(entry.token())
            .packInt(entry.state().ordinal())
            .packLong(entry.epochSeconds())
            .packInt(entry.status());
      }
      return packer.toByteArray();
    } catch (IOException e) {
      throw new FleetException(ErrorCode.INTERNAL, "claims can't be encoded: " + e.getMessage());
    }
  }

  static List<ClaimEntry> decode(byte[] value) {
    if (value.length == 0) {
      return List.of();
    }
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(value)) {
      int version = unpacker.unpackInt();
      if (version != VERSION) {
        throw new FleetException(
            ErrorCode.INTERNAL,
            "unknown format version of stored claims, expected " + VERSION + ": " + version);
      }
      int count = unpacker.unpackArrayHeader();
      List<ClaimEntry> entries = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        entries.add(decodeEntry(unpacker));
      }
      return entries;
    } catch (IOException | MessagePackException | ArrayIndexOutOfBoundsException e) {
      throw new FleetException(ErrorCode.INTERNAL, "claims can't be decoded: " + e.getMessage());
    }
  }

  private static ClaimEntry decodeEntry(MessageUnpacker unpacker) throws IOException {
    ClaimKey key = new ClaimKey(unpacker.unpackLong(), unpacker.unpackLong());
    long token = unpacker.unpackLong();
    ClaimEntry.State state = STATES[unpacker.unpackInt()];
    return new ClaimEntry(key, token, state, unpacker.unpackLong(), unpacker.unpackInt());
  }
}
