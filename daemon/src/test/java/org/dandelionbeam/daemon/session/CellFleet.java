package org.dandelionbeam.daemon.session;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.standins.EngineStandIn;
import org.dandelionbeam.standins.Fault;
import org.dandelionbeam.standins.FaultPlan;
import org.dandelionbeam.standins.LedgerStandIn;

/**
 * Two routers with shared claims in front of two upstreams of one kind; the fault of the cell is
 * injected at the first router or the first upstream.
 */
final class CellFleet implements AutoCloseable {
  private static final int TOKENS_PER_SECOND = 1_000;

  private final Cell cell;
  private final AtomicBoolean faultInjected = new AtomicBoolean();
  private final List<EngineStandIn> engines = new ArrayList<>();
  private final List<LedgerStandIn> ledgers = new ArrayList<>();
  private final TestClaims claims = new TestClaims(this::reached);
  private final TestDispatch dispatch;
  private final TestDispatch otherDispatch;
  private final TestRouter router;
  private final TestRouter otherRouter;
  private final FaultInjectingProxy proxy;
  private volatile RawCaller caller;

  CellFleet(Cell cell, EventLoop proxyLoop) throws IOException {
    this.cell = cell;
    boolean stream = cell.kind() == MatrixKind.STREAM;
    for (int i = 0; i < 2; i++) {
      if (stream) {
        engines.add(EngineStandIn.builder().tokensPerSecond(TOKENS_PER_SECOND).start());
      } else {
        ledgers.add(LedgerStandIn.start(0, Duration.ZERO));
      }
    }
    List<Integer> ports = new ArrayList<>();
    engines.forEach(engine -> ports.add(engine.port()));
    ledgers.forEach(ledger -> ports.add(ledger.port()));
    proxy = new FaultInjectingProxy(proxyLoop, ports.get(0), this::reached);
    ports.set(0, proxy.port());
    Configuration accepted =
        TestConfigurations.of(stream ? ports : List.of(1), stream ? List.of(1) : ports);
    dispatch = new TestDispatch(accepted, this::reached);
    otherDispatch = new TestDispatch(accepted);
    router = TestRouter.start(accepted, dispatch, claims, 1);
    otherRouter = TestRouter.start(accepted, otherDispatch, claims, 2);
  }

  /** Injects the fault when its step is reached for the first time. */
  void reached(Step step) {
    if (step == cell.step() && faultInjected.compareAndSet(false, true)) {
      cell.fault().inject(this);
    }
  }

  boolean isFaultInjected() {
    return faultInjected.get();
  }

  RawCaller connect() throws IOException {
    caller = RawCaller.connect(router.port());
    return caller;
  }

  TestRouter router() {
    return router;
  }

  TestRouter otherRouter() {
    return otherRouter;
  }

  TestDispatch dispatch() {
    return dispatch;
  }

  TestClaims claims() {
    return claims;
  }

  FaultInjectingProxy proxy() {
    return proxy;
  }

  void closeCaller() {
    try {
      caller.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Closes the router without waiting, because the caller may run on the router's own thread. */
  void kill() {
    CompletableFuture.runAsync(router::close);
  }

  void turnCold() {
    engines.stream().limit(1).forEach(engine -> engine.arm(FaultPlan.always(Fault.COLD)));
    ledgers.stream().limit(1).forEach(ledger -> ledger.arm(FaultPlan.always(Fault.OVERLOADED)));
  }

  void heal() {
    router.openGate();
    dispatch.heal();
    claims.heal();
    proxy.heal();
    ledgers.forEach(LedgerStandIn::clearFaults);
  }

  /** Returns how often requests ran, as the upstreams counted. */
  long runs() {
    return engines.stream().mapToLong(EngineStandIn::requestRuns).sum()
        + ledgers.stream().mapToLong(LedgerStandIn::requestRuns).sum();
  }

  int runningAtEngines() {
    return engines.stream().mapToInt(EngineStandIn::inFlight).sum();
  }

  @Override
  public void close() throws IOException {
    proxy.close();
    router.close();
    otherRouter.close();
    engines.forEach(EngineStandIn::close);
    ledgers.forEach(LedgerStandIn::close);
  }
}
