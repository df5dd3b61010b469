package org.dandelionbeam.peer.wiring;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.config.ConfigDelta;
import org.dandelionbeam.config.ConfigDigest;
import org.dandelionbeam.config.ConfigPull;
import org.dandelionbeam.config.ConfigUpdate;
import org.dandelionbeam.config.RolloutReport;
import org.dandelionbeam.config.RolloutTotal;
import org.dandelionbeam.dispatch.DispatchBatch;
import org.dandelionbeam.dispatch.DispatchMessage;
import org.dandelionbeam.membership.DomainMark;
import org.dandelionbeam.membership.DomainMarksMessage;
import org.dandelionbeam.membership.Gossip;
import org.dandelionbeam.membership.IndirectProbeRequest;
import org.dandelionbeam.membership.LoanRequest;
import org.dandelionbeam.membership.LoanResponse;
import org.dandelionbeam.membership.LoanReturn;
import org.dandelionbeam.membership.Probe;
import org.dandelionbeam.membership.ProbeAck;
import org.dandelionbeam.membership.RosterConfirmation;
import org.dandelionbeam.membership.RosterDocument;
import org.dandelionbeam.membership.RosterRequest;
import org.dandelionbeam.peer.PeerMessage;
import org.dandelionbeam.share.ShareReport;
import org.dandelionbeam.share.ShareTotals;

/** Provides one message of typical content and size for each message type. */
final class TypicalMessages {
  private static final long EPOCH = 1_600;
  private static final long INCARNATION = 1_700_000_000_000L;
  private static final long STAMP = 3_600_000_000_000L;
  private static final int DIGEST = -123_456_789;
  private static final int DELTA_BYTES = 64;
  private static final long COUNTER = 3_000_000_000L;
  private static final String NODE = "kigali-1-router-3";
  private static final DomainMark MARK = new DomainMark("kigali-1", true, 3, NODE);
  private static final Gossip GOSSIP =
      new Gossip(List.of(new Gossip.MemberUpdate(NODE, 1, INCARNATION)), List.of(MARK));

  private TypicalMessages() {}

  static PeerCodec codec() {
    PeerCodec codec = new PeerCodec();
    byType().forEach((type, message) -> codec.register(type, message.getClass()));
    return codec;
  }

  static Map<Integer, PeerMessage> byType() {
    Map<Integer, PeerMessage> messages = new TreeMap<>();
    messages.put(10, dispatchBatch());
    messages.putAll(share());
    messages.putAll(membership());
    messages.putAll(config());
    return messages;
  }

  private static DispatchBatch dispatchBatch() {
    DispatchMessage.Ask ask =
        new DispatchMessage.Ask(1 << 20, 610, 3, 1, 37, 5L << 40, 200f, 60_000, List.of(9), 1e6f);
    List<DispatchMessage> lines =
        List.of(
            new DispatchMessage.Withdrawn(1 << 20),
            new DispatchMessage.Used(1 << 20),
            new DispatchMessage.Ended(1 << 20, 0, 812.5f, 420_000, 8_000_000),
            new DispatchMessage.Carried(1 << 20, 610, 92, 60_000),
            ask,
            new DispatchMessage.Advert(92, 3, 1e6f),
            new DispatchMessage.Granted(1 << 20, 92),
            new DispatchMessage.Queued(1 << 20, 1, 40, 2_000),
            new DispatchMessage.Refused(1 << 20, 14, 1_000));
    return DispatchBatch.of(DIGEST, EPOCH, lines);
  }

  private static Map<Integer, PeerMessage> share() {
    ServiceId service = ServiceId.of(1);
    TeamId team = TeamId.of(610);
    ShareReport.Entry entry = new ShareReport.Entry(service, team, COUNTER, 2_000, COUNTER);
    ShareTotals.Total total = new ShareTotals.Total(service, team, COUNTER, 1);
    return Map.of(
        30, new ShareReport(DIGEST, 40_000, List.of(entry, entry)),
        31, new ShareTotals(DIGEST, 40_000, List.of(total, total)));
  }

  private static Map<Integer, PeerMessage> membership() {
    RosterDocument.MemberEntry entry =
        new RosterDocument.MemberEntry(
            NODE, "10.20.30.40", 7_101, 7_100, "kigali-1", INCARNATION, false);
    RosterDocument.DepartureEntry gone = new RosterDocument.DepartureEntry(entry, "GONE");
    RosterDocument roster =
        new RosterDocument(EPOCH, 40, List.of(entry, entry), List.of(NODE), List.of(gone));
    List<LoanRequest.UpstreamWindow> windows =
        List.of(new LoanRequest.UpstreamWindow(92, true, 40));
    List<LoanResponse.Loan> loans = List.of(new LoanResponse.Loan(92, 5, 1));
    return Map.of(
        40, new Probe(EPOCH, 70_000, DIGEST, GOSSIP),
        41, new ProbeAck(EPOCH, 70_000, DIGEST, GOSSIP),
        42, new IndirectProbeRequest(EPOCH, 70_000, NODE),
        43, new LoanRequest(EPOCH, INCARNATION, STAMP, windows, GOSSIP),
        44, new LoanResponse(EPOCH, STAMP, loans, GOSSIP),
        45, new LoanReturn(EPOCH, INCARNATION, STAMP, List.of(new LoanReturn.Use(92, 1))),
        46, new RosterRequest(EPOCH),
        47, roster,
        48, new DomainMarksMessage(List.of(MARK)),
        49, new RosterConfirmation(EPOCH, 40));
  }

  private static Map<Integer, PeerMessage> config() {
    List<NodeId> names = List.of(NodeId.of(NODE));
    ConfigDelta delta = new ConfigDelta(1_599, 1_600, new byte[DELTA_BYTES]);
    return Map.of(
        60, new ConfigDigest(1_600, 1_600, 800, new RolloutTotal(1_600, 1, names, 900)),
        61, new ConfigPull(1_599),
        62, new ConfigUpdate(1_600, new byte[0], List.of(delta)),
        63, new RolloutReport(1_600, 1, names));
  }
}
