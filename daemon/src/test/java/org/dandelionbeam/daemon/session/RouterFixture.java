package org.dandelionbeam.daemon.session;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.standins.EngineStandIn;
import org.dandelionbeam.standins.LedgerStandIn;

/** One router in front of two engines and two ledgers. */
final class RouterFixture implements AutoCloseable {
  private static final long SEED = 11;
  private static final int UPSTREAMS_PER_SERVICE = 2;

  private final List<EngineStandIn> engines = new ArrayList<>();
  private final List<LedgerStandIn> ledgers = new ArrayList<>();
  private final TestDispatch dispatch;
  private final TestClaims claims = new TestClaims();
  private final TestRouter router;

  private RouterFixture() {
    for (int i = 0; i < UPSTREAMS_PER_SERVICE; i++) {
      engines.add(
          EngineStandIn.builder().models(TestConfigurations.MODEL).tokensPerSecond(2_000).start());
      ledgers.add(LedgerStandIn.start(0, Duration.ZERO));
    }
    Configuration accepted =
        TestConfigurations.of(
            engines.stream().map(EngineStandIn::port).toList(),
            ledgers.stream().map(LedgerStandIn::port).toList());
    dispatch = new TestDispatch(accepted);
    router = TestRouter.start(accepted, dispatch, claims, SEED);
  }

  static RouterFixture start() {
    return new RouterFixture();
  }

  TestRouter router() {
    return router;
  }

  int port() {
    return router.port();
  }

  /** Returns the engine that dispatch prefers. */
  EngineStandIn engine() {
    return engines.get(0);
  }

  /** Returns the ledger that dispatch prefers. */
  LedgerStandIn ledger() {
    return ledgers.get(0);
  }

  TestDispatch dispatch() {
    return dispatch;
  }

  TestClaims claims() {
    return claims;
  }

  int openRequests() {
    return router.openRequests();
  }

  /** Waits until no request is open, so that all decisions have been recorded. */
  void awaitIdle() {
    while (openRequests() > 0) {
      Thread.onSpinWait();
    }
  }

  @Override
  public void close() {
    router.close();
    engines.forEach(EngineStandIn::close);
    ledgers.forEach(LedgerStandIn::close);
  }
}
