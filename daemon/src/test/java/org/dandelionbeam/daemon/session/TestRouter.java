package org.dandelionbeam.daemon.session;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.MonotonicClock;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.dispatch.DispatchPort;
import org.dandelionbeam.entry.ClaimPort;
import org.dandelionbeam.entry.wiring.EntryContext;
import org.dandelionbeam.entry.wiring.EntryServer;
import org.dandelionbeam.explain.Journal;

/** Entry server of one router with given dispatch and claims, and with ids from a seed. */
final class TestRouter implements AutoCloseable {
  private static final byte[] FLEET_KEY = "fleet".getBytes(StandardCharsets.UTF_8);

  private final AtomicReference<Optional<EntryContext.ClosedReason>> gate =
      new AtomicReference<>(Optional.empty());
  private final AtomicReference<Optional<Configuration>> configuration = new AtomicReference<>();
  private final Journal journal = Journal.of(Clock.systemUTC());
  private final RecordingRandom random;
  private final EntryServer entry;
  private final int port;

  private TestRouter(Configuration accepted, DispatchPort dispatch, ClaimPort claims, long seed) {
    configuration.set(Optional.of(accepted));
    random = new RecordingRandom(seed);
    entry = EntryServer.of(context(dispatch, claims), "entry-test");
    port = entry.listen("127.0.0.1", 0);
  }

  static TestRouter start(
      Configuration accepted, DispatchPort dispatch, ClaimPort claims, long seed) {
    return new TestRouter(accepted, dispatch, claims, seed);
  }

  int port() {
    return port;
  }

  void closeGate(ErrorCode code) {
    gate.set(Optional.of(new EntryContext.ClosedReason(code, "closed by the test")));
  }

  void openGate() {
    gate.set(Optional.empty());
  }

  void forgetConfiguration() {
    configuration.set(Optional.empty());
  }

  int openRequests() {
    return entry.openRequests().join();
  }

  /**
   * Returns the journal entries of the requests, in the order in which their ids were generated.
   */
  List<String> decisions(List<String> callerIds) {
    List<String> lines = new ArrayList<>();
    for (long draw : random.draws()) {
      String unique = String.format("%012x", draw >>> Short.SIZE);
      for (String callerId : callerIds) {
        journal
            .entriesOf(RequestId.of(callerId + "-" + unique))
            .forEach(line -> lines.add(callerId + " " + line.type() + ": " + line.detail()));
      }
    }
    return lines;
  }

  @Override
  public void close() {
    entry.close();
  }

  private EntryContext context(DispatchPort dispatch, ClaimPort claims) {
    return new EntryContext(
        configuration::get,
        dispatch,
        claims,
        (call, reply) -> reply.accept(new EntryContext.AdminResponse(200, "text/plain", "ok")),
        domain -> new AddressList(List.of("127.0.0.1:" + port()), 5),
        gate::get,
        FLEET_KEY,
        MonotonicClock.system(),
        random,
        journal,
        new SimpleMeterRegistry());
  }

  private record AddressList(List<String> addresses, int lifetimeSeconds) {}
}
