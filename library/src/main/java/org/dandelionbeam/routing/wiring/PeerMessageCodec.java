package org.dandelionbeam.routing.wiring;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.dandelionbeam.routing.RouterName;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes the messages between routers as MessagePack. */
final class PeerMessageCodec {
  private static final int FORMAT = 11;
  private static final int BUFFER_BYTES = 512;
  private static final MessagePack.PackerConfig PACKERS =
      new MessagePack.PackerConfig().withBufferSize(BUFFER_BYTES);

  private static final int SUMMARY = 0;
  private static final int REQUESTS = 1;
  private static final int REPLIES = 2;

  private PeerMessageCodec() {}

  static byte[] encode(PeerMessage message) throws IOException {
    try (MessageBufferPacker packer = PACKERS.newBufferPacker()) {
      packer.packInt(FORMAT);
      if (message instanceof PeerMessage.Summary summary) {
        packer.packInt(SUMMARY);
        SummaryCodec.pack(packer, summary.message());
      } else if (message instanceof PeerMessage.Requests requests) {
        packer.packInt(REQUESTS);
        packer.packString(requests.sender().text());
        ScheduleCodec.packRequests(packer, requests.requests());
      } else if (message instanceof PeerMessage.Replies replies) {
        packer.packInt(REPLIES);
        packer.packString(replies.sender().text());
        ScheduleCodec.packReplies(packer, replies.replies());
      }
      return packer.toByteArray();
    }
  }

  /**
   * Decodes a message.
   *
   * @throws IOException if the bytes are not a message of this format
   */
  static PeerMessage decode(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int format = unpacker.unpackInt();
      if (format != FORMAT) {
        throw new IOException("peer message has format " + format + ", expected " + FORMAT);
      }
      int type = unpacker.unpackInt();
      return switch (type) {
        case SUMMARY -> new PeerMessage.Summary(SummaryCodec.unpack(unpacker));
        case REQUESTS ->
            new PeerMessage.Requests(
                RouterName.of(unpacker.unpackString()), ScheduleCodec.unpackRequests(unpacker));
        case REPLIES ->
            new PeerMessage.Replies(
                RouterName.of(unpacker.unpackString()), ScheduleCodec.unpackReplies(unpacker));
        default -> throw new IOException("unknown type of peer message: " + type);
      };
    } catch (MessagePackException | IllegalArgumentException e) {
      throw new IOException("bytes are not a valid peer message", e);
    }
  }

  static void packNumbers(MessagePacker packer, Set<Integer> numbers) throws IOException {
    packer.packArrayHeader(numbers.size());
    for (int number : numbers) {
      packer.packInt(number);
    }
  }

  static Set<Integer> unpackNumbers(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackArrayHeader();
    Set<Integer> numbers = new HashSet<>();
    for (int i = 0; i < size; i++) {
      numbers.add(unpacker.unpackInt());
    }
    return numbers;
  }
}
