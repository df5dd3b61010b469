package org.dandelionbeam.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.peer.PeerMessage;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Prints how fast a change reaches all nodes and what traffic it causes; run its main method. */
public final class ConfigGossipMeasurement {
  private static final int CHANGES = 20;
  private static final int FRAME_BYTES = 15;
  private static final long IDLE = 60 * ConfigFleet.SECOND;
  private static final ObjectMapper MAPPER = mapper();

  private ConfigGossipMeasurement() {}

  public static void main(String[] arguments) throws Exception {
    for (int size : new int[] {8, 32, 128, 410}) {
      for (double loss : new double[] {0, 0.3}) {
        measure(size, loss);
      }
    }
  }

  private static void measure(int size, double loss) throws JsonProcessingException {
    ConfigFleet fleet = ConfigStateMachineTest.fleetWithFirstRevision(size, 1);
    fleet.lossProbability = loss;
    fleet.sent.clear();
    int calls = fleet.platformCalls;
    fleet.run(IDLE);
    double callsIdle = (fleet.platformCalls - calls) / seconds(IDLE);
    double bytesIdle = bytes(fleet) / seconds(IDLE) / size;
    double messagesIdle = messages(fleet) / seconds(IDLE) / size;
    long[] nanos = new long[CHANGES];
    double bytesChange = 0;
    double callsChange = 0;
    for (int i = 0; i < CHANGES; i++) {
      fleet.sent.clear();
      calls = fleet.platformCalls;
      fleet.apply(i % size, "c" + i, fleet.platformRevision, ConfigStateMachineTest.tree(2 + i));
      nanos[i] = fleet.runUntilAllAt(fleet.platformRevision + 1, 30 * ConfigFleet.SECOND);
      fleet.run(5 * ConfigFleet.SECOND - nanos[i]);
      bytesChange += bytes(fleet) / size - 5 * bytesIdle;
      callsChange += fleet.platformCalls - calls - 5 * callsIdle;
    }
    Arrays.sort(nanos);
    System.out.printf(
        "%d nodes, loss %.1f: in force everywhere median %.3f s, worst %.3f s; idle %.1f B/s and"
            + " %.2f messages/s sent per node, platform %.1f calls/s; per change %.0f B per node,"
            + " %.1f platform calls%n",
        size,
        loss,
        seconds(nanos[CHANGES / 2]),
        seconds(nanos[CHANGES - 1]),
        bytesIdle,
        messagesIdle,
        callsIdle,
        bytesChange / CHANGES,
        callsChange / CHANGES);
  }

  private static double messages(ConfigFleet fleet) {
    return fleet.sent.values().stream().mapToInt(Collection::size).sum();
  }

  private static double bytes(ConfigFleet fleet) throws JsonProcessingException {
    double bytes = 0;
    for (List<PeerMessage> messages : fleet.sent.values()) {
      for (PeerMessage message : messages) {
        bytes += FRAME_BYTES + MAPPER.writeValueAsBytes(message).length;
      }
    }
    return bytes;
  }

  private static double seconds(long nanos) {
    return nanos / (double) TimeUnit.SECONDS.toNanos(1);
  }

  private static ObjectMapper mapper() {
    ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
    mapper.setAnnotationIntrospector(new JsonArrayFormat());
    return mapper;
  }
}
