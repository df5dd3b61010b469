package org.dandelionbeam.routing.wiring;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.routing.Endpoint;
import org.dandelionbeam.routing.FleetMembers.Member;
import org.dandelionbeam.routing.PromptProfile;
import org.dandelionbeam.routing.RouterName;
import org.dandelionbeam.routing.SentPrompt;
import org.dandelionbeam.routing.StoreVersions;
import org.dandelionbeam.routing.UpstreamLoad;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Report that a router sends to its peers several times a second.
 *
 * @param sender registration of the router
 * @param serving whether the router accepts requests
 * @param versions versions of the data that the router has read from the store
 * @param full whether {@code loads} contains all upstreams with load, not only changes
 * @param loads load of the router in flight, by number of the upstream
 * @param prompts prompts that the router sent to engines since its last report
 * @param usage decayed usage that the router granted, by number of the team
 */
record PeerReport(
    Member sender,
    boolean serving,
    StoreVersions versions,
    boolean full,
    Map<Integer, UpstreamLoad> loads,
    List<SentPrompt> prompts,
    Map<Integer, Double> usage) {
  private static final int FORMAT = 4;

  /** Encodes the report as MessagePack. */
  byte[] encode() throws IOException {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(FORMAT);
      packer.packString(sender.name().text());
      packer.packString(sender.callers().toString());
      packer.packString(sender.peers().toString());
      packer.packString(sender.domain().name());
      packer.packLong(sender.incarnation());
      packer.packBoolean(serving);
      packer.packLong(versions.configuration());
      packer.packLong(versions.upstreams());
      packer.packBoolean(full);
      packer.packMapHeader(loads.size());
      for (Map.Entry<Integer, UpstreamLoad> entry : loads.entrySet()) {
        packer.packInt(entry.getKey());
        packer.packInt(entry.getValue().inFlight());
        packer.packLong(entry.getValue().prefillTokens());
        packer.packLong(entry.getValue().memoryTokens());
      }
      packPrompts(packer);
      packer.packMapHeader(usage.size());
      for (Map.Entry<Integer, Double> entry : usage.entrySet()) {
        packer.packInt(entry.getKey());
        packer.packFloat(entry.getValue().floatValue());
      }
      return packer.toByteArray();
    }
  }

  /**
   * Decodes a report.
   *
   * @throws IOException if the bytes are not a report of this format
   */
  static PeerReport decode(byte[] bytes) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int format = unpacker.unpackInt();
      if (format != FORMAT) {
        throw new IOException("peer report has format " + format + ", expected " + FORMAT);
      }
      Member sender =
          new Member(
              RouterName.of(unpacker.unpackString()),
              Endpoint.of(unpacker.unpackString()),
              Endpoint.of(unpacker.unpackString()),
              FailureDomain.of(unpacker.unpackString()),
              unpacker.unpackLong());
      boolean serving = unpacker.unpackBoolean();
      StoreVersions versions = new StoreVersions(unpacker.unpackLong(), unpacker.unpackLong());
      boolean full = unpacker.unpackBoolean();
      return new PeerReport(
          sender, serving, versions, full, loads(unpacker), prompts(unpacker), usage(unpacker));
    } catch (MessagePackException | IllegalArgumentException e) {
      throw new IOException("bytes are not a valid peer report", e);
    }
  }

  private static Map<Integer, UpstreamLoad> loads(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackMapHeader();
    Map<Integer, UpstreamLoad> loads = new HashMap<>();
    for (int i = 0; i < size; i++) {
      int upstream = unpacker.unpackInt();
      loads.put(
          upstream,
          new UpstreamLoad(unpacker.unpackInt(), unpacker.unpackLong(), unpacker.unpackLong()));
    }
    return loads;
  }

  private void packPrompts(MessageBufferPacker packer) throws IOException {
    packer.packArrayHeader(prompts.size());
    for (SentPrompt prompt : prompts) {
      packer.packInt(prompt.engine());
      packer.packArrayHeader(prompt.parts().size());
      for (PromptProfile.Part part : prompt.parts()) {
        packer.packLong(part.hash());
        packer.packLong(part.tokens());
      }
    }
  }

  private static List<SentPrompt> prompts(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackArrayHeader();
    List<SentPrompt> prompts = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      int engine = unpacker.unpackInt();
      int count = unpacker.unpackArrayHeader();
      List<PromptProfile.Part> parts = new ArrayList<>();
      for (int j = 0; j < count; j++) {
        parts.add(new PromptProfile.Part(unpacker.unpackLong(), unpacker.unpackLong()));
      }
      prompts.add(new SentPrompt(engine, parts));
    }
    return prompts;
  }

  private static Map<Integer, Double> usage(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackMapHeader();
    Map<Integer, Double> service = new HashMap<>();
    for (int i = 0; i < size; i++) {
      service.put(unpacker.unpackInt(), (double) unpacker.unpackFloat());
    }
    return service;
  }
}
