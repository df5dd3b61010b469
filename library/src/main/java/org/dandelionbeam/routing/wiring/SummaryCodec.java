package org.dandelionbeam.routing.wiring;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.routing.CrashCounts;
import org.dandelionbeam.routing.Departure;
import org.dandelionbeam.routing.DepartureReport;
import org.dandelionbeam.routing.Endpoint;
import org.dandelionbeam.routing.FleetCounters;
import org.dandelionbeam.routing.FleetMembers.Member;
import org.dandelionbeam.routing.RateLimit;
import org.dandelionbeam.routing.RateLimits;
import org.dandelionbeam.routing.RetryCounts;
import org.dandelionbeam.routing.RouterName;
import org.dandelionbeam.routing.StoreVersions;
import org.dandelionbeam.routing.Suspect;
import org.dandelionbeam.summary.SummaryMessage;
import org.dandelionbeam.summary.SummaryMessage.FleetReport;
import org.dandelionbeam.summary.SummaryMessage.RelayReport;
import org.dandelionbeam.summary.SummaryMessage.RouterReport;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes the reports by which routers learn the state of the fleet. */
final class SummaryCodec {
  private static final int ROUTER_REPORT = 0;
  private static final int RELAY_REPORT = 1;
  private static final int FLEET_REPORT = 2;

  private SummaryCodec() {}

  static void pack(MessagePacker packer, SummaryMessage message) throws IOException {
    if (message instanceof RouterReport report) {
      packer.packInt(ROUTER_REPORT);
      packMember(packer, report.sender());
      packer.packLong(report.sequence());
      packer.packBoolean(report.serving());
      packer.packLong(report.availableDigest());
      packDepartures(packer, report.departures());
      packBlamed(packer, report.blamed());
      packLimits(packer, report.limits());
      packVersions(packer, report.versions());
      packCounters(packer, report.counters());
    } else if (message instanceof RelayReport report) {
      packer.packInt(RELAY_REPORT);
      packer.packString(report.relay().text());
      PeerMessageCodec.packNumbers(packer, report.serving());
      PeerMessageCodec.packNumbers(packer, report.leaving());
      packer.packBoolean(report.readsStore());
      packDepartures(packer, report.departures());
      packBlamed(packer, report.blamed());
      packLimits(packer, report.limits());
      packVersions(packer, report.versions());
      packCounters(packer, report.counters());
    } else if (message instanceof FleetReport report) {
      packer.packInt(FLEET_REPORT);
      packer.packString(report.relay().text());
      packer.packLong(report.sequence());
      packAvailable(packer, report.available());
      PeerMessageCodec.packNumbers(packer, report.unavailable());
      packer.packBoolean(report.readsStore());
      packDepartures(packer, report.departures());
      packBlamed(packer, report.blamed());
      packLimits(packer, report.limits());
      packVersions(packer, report.versions());
      packCounters(packer, report.counters());
    }
  }

  static SummaryMessage unpack(MessageUnpacker unpacker) throws IOException {
    int type = unpacker.unpackInt();
    return switch (type) {
      case ROUTER_REPORT ->
          new RouterReport(
              unpackMember(unpacker),
              unpacker.unpackLong(),
              unpacker.unpackBoolean(),
              unpacker.unpackLong(),
              unpackDepartures(unpacker),
              unpackBlamed(unpacker),
              unpackLimits(unpacker),
              unpackVersions(unpacker),
              unpackCounters(unpacker));
      case RELAY_REPORT ->
          new RelayReport(
              RouterName.of(unpacker.unpackString()),
              PeerMessageCodec.unpackNumbers(unpacker),
              PeerMessageCodec.unpackNumbers(unpacker),
              unpacker.unpackBoolean(),
              unpackDepartures(unpacker),
              unpackBlamed(unpacker),
              unpackLimits(unpacker),
              unpackVersions(unpacker),
              unpackCounters(unpacker));
      case FLEET_REPORT ->
          new FleetReport(
              RouterName.of(unpacker.unpackString()),
              unpacker.unpackLong(),
              unpackAvailable(unpacker),
              PeerMessageCodec.unpackNumbers(unpacker),
              unpacker.unpackBoolean(),
              unpackDepartures(unpacker),
              unpackBlamed(unpacker),
              unpackLimits(unpacker),
              unpackVersions(unpacker),
              unpackCounters(unpacker));
      default -> throw new IOException("unknown type of report: " + type);
    };
  }

  private static void packAvailable(MessagePacker packer, Optional<Set<Integer>> available)
      throws IOException {
    if (available.isPresent()) {
      PeerMessageCodec.packNumbers(packer, available.get());
    } else {
      packer.packNil();
    }
  }

  private static Optional<Set<Integer>> unpackAvailable(MessageUnpacker unpacker)
      throws IOException {
    return unpacker.tryUnpackNil()
        ? Optional.empty()
        : Optional.of(PeerMessageCodec.unpackNumbers(unpacker));
  }

  private static void packMember(MessagePacker packer, Member member) throws IOException {
    packer.packString(member.name().text());
    packer.packString(member.callers().toString());
    packer.packString(member.peers().toString());
    packer.packString(member.domain().name());
    packer.packLong(member.incarnation());
    packer.packDouble(member.capacity());
  }

  private static Member unpackMember(MessageUnpacker unpacker) throws IOException {
    return new Member(
        RouterName.of(unpacker.unpackString()),
        Endpoint.of(unpacker.unpackString()),
        Endpoint.of(unpacker.unpackString()),
        FailureDomain.of(unpacker.unpackString()),
        unpacker.unpackLong(),
        unpacker.unpackDouble());
  }

  private static void packVersions(MessagePacker packer, StoreVersions versions)
      throws IOException {
    packer.packLong(versions.era());
    packer.packLong(versions.operators());
    packer.packLong(versions.upstreams());
    packer.packLong(versions.routers());
  }

  private static StoreVersions unpackVersions(MessageUnpacker unpacker) throws IOException {
    return new StoreVersions(
        unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
  }

  private static void packCounters(MessagePacker packer, FleetCounters counters)
      throws IOException {
    packAmounts(packer, counters.usage());
    packAmounts(packer, counters.demand());
    packer.packMapHeader(counters.retries().size());
    for (Map.Entry<Integer, RetryCounts> entry : counters.retries().entrySet()) {
      packer.packInt(entry.getKey());
      packer.packLong(entry.getValue().requests());
      packer.packLong(entry.getValue().retries());
    }
    packer.packMapHeader(counters.crashes().size());
    for (Map.Entry<Suspect, CrashCounts> entry : counters.crashes().entrySet()) {
      packSuspect(packer, entry.getKey());
      packer.packInt(entry.getValue().crashes());
      packer.packLong(entry.getValue().firstAge().toMillis());
      packer.packLong(entry.getValue().lastAge().toMillis());
      packer.packLong(entry.getValue().servedAge().toMillis());
    }
  }

  private static FleetCounters unpackCounters(MessageUnpacker unpacker) throws IOException {
    Map<Integer, Double> usage = unpackAmounts(unpacker);
    Map<Integer, Double> demand = unpackAmounts(unpacker);
    int services = unpacker.unpackMapHeader();
    Map<Integer, RetryCounts> retries = new HashMap<>();
    for (int i = 0; i < services; i++) {
      retries.put(
          unpacker.unpackInt(), new RetryCounts(unpacker.unpackLong(), unpacker.unpackLong()));
    }
    return new FleetCounters(usage, demand, retries, unpackCrashes(unpacker));
  }

  private static void packAmounts(MessagePacker packer, Map<Integer, Double> amounts)
      throws IOException {
    packer.packMapHeader(amounts.size());
    for (Map.Entry<Integer, Double> entry : amounts.entrySet()) {
      packer.packInt(entry.getKey());
      packer.packFloat(entry.getValue().floatValue());
    }
  }

  private static Map<Integer, Double> unpackAmounts(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackMapHeader();
    Map<Integer, Double> amounts = new HashMap<>();
    for (int i = 0; i < size; i++) {
      amounts.put(unpacker.unpackInt(), (double) unpacker.unpackFloat());
    }
    return amounts;
  }

  private static Map<Suspect, CrashCounts> unpackCrashes(MessageUnpacker unpacker)
      throws IOException {
    int suspects = unpacker.unpackMapHeader();
    Map<Suspect, CrashCounts> crashes = new HashMap<>();
    for (int i = 0; i < suspects; i++) {
      crashes.put(
          unpackSuspect(unpacker),
          new CrashCounts(
              unpacker.unpackInt(),
              Duration.ofMillis(unpacker.unpackLong()),
              Duration.ofMillis(unpacker.unpackLong()),
              Duration.ofMillis(unpacker.unpackLong())));
    }
    return crashes;
  }

  private static void packDepartures(MessagePacker packer, DepartureReport report)
      throws IOException {
    packer.packLong(report.era());
    packer.packMapHeader(report.departures().size());
    for (Map.Entry<Integer, Departure> entry : report.departures().entrySet()) {
      packer.packInt(entry.getKey());
      packer.packLong(entry.getValue().revision());
      packer.packLong(entry.getValue().age().toMillis());
    }
  }

  private static DepartureReport unpackDepartures(MessageUnpacker unpacker) throws IOException {
    long era = unpacker.unpackLong();
    int size = unpacker.unpackMapHeader();
    Map<Integer, Departure> departures = new HashMap<>();
    for (int i = 0; i < size; i++) {
      departures.put(
          unpacker.unpackInt(),
          new Departure(unpacker.unpackLong(), Duration.ofMillis(unpacker.unpackLong())));
    }
    return new DepartureReport(era, departures);
  }

  private static void packBlamed(MessagePacker packer, Map<Suspect, Duration> blamed)
      throws IOException {
    packer.packMapHeader(blamed.size());
    for (Map.Entry<Suspect, Duration> entry : blamed.entrySet()) {
      packSuspect(packer, entry.getKey());
      packer.packLong(entry.getValue().toMillis());
    }
  }

  private static Map<Suspect, Duration> unpackBlamed(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackMapHeader();
    Map<Suspect, Duration> blamed = new HashMap<>();
    for (int i = 0; i < size; i++) {
      blamed.put(unpackSuspect(unpacker), Duration.ofMillis(unpacker.unpackLong()));
    }
    return blamed;
  }

  private static void packSuspect(MessagePacker packer, Suspect suspect) throws IOException {
    packer.packInt(suspect.kind().ordinal());
    packer.packLong(suspect.id());
  }

  private static Suspect unpackSuspect(MessageUnpacker unpacker) throws IOException {
    Suspect.Kind[] kinds = Suspect.Kind.values();
    int kind = unpacker.unpackInt();
    if (kind < 0 || kind >= kinds.length) {
      throw new IOException("unknown kind of suspect: " + kind);
    }
    return new Suspect(kinds[kind], unpacker.unpackLong());
  }

  private static void packLimits(MessagePacker packer, Map<Integer, RateLimits.Reported> limits)
      throws IOException {
    packer.packMapHeader(limits.size());
    for (Map.Entry<Integer, RateLimits.Reported> entry : limits.entrySet()) {
      packer.packInt(entry.getKey());
      packer.packFloat((float) entry.getValue().limit().perSecond());
      packer.packLong(entry.getValue().age().toMillis());
    }
  }

  private static Map<Integer, RateLimits.Reported> unpackLimits(MessageUnpacker unpacker)
      throws IOException {
    int size = unpacker.unpackMapHeader();
    Map<Integer, RateLimits.Reported> limits = new HashMap<>();
    for (int i = 0; i < size; i++) {
      limits.put(
          unpacker.unpackInt(),
          new RateLimits.Reported(
              new RateLimit(unpacker.unpackFloat()), Duration.ofMillis(unpacker.unpackLong())));
    }
    return limits;
  }
}
