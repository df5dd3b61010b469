package org.dandelionbeam.daemon;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drains a router when the process gets SIGTERM or SIGINT.
 *
 * <p>The JVM runs its shutdown hooks once; a further signal changes nothing while they run. The
 * drain is bounded, and SIGKILL ends the process at once.
 */
final class GracefulStop {
  private final AutoCloseable router;
  private final Duration timeout;

  private GracefulStop(AutoCloseable router, Duration limit) {
    this.router = router;
    this.timeout = limit;
  }

  static GracefulStop of(AutoCloseable router, Duration timeout) {
    return new GracefulStop(requireNonNull(router, "router"), requireNonNull(timeout, "timeout"));
  }

  /** Lets a signal drain the router and end the process; from now on no signal ends it at once. */
  void install() {
    Thread hook = new Thread(() -> Runtime.getRuntime().halt(drain().status()), "graceful-stop");
    Runtime.getRuntime().addShutdownHook(hook);
  }

  /** Waits until the process ends. */
  static void awaitEnd() {
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Drains within the limit; returns {@code FAILED} if the drain failed or took too long. */
  ExitStatus drain() {
    Logger log = LoggerFactory.getLogger(GracefulStop.class);
    log.info("drain started, it ends after at most {} s", timeout.toSeconds());
    CountDownLatch drained = new CountDownLatch(1);
    Thread worker = new Thread(() -> close(drained, log), "drain");
    worker.setDaemon(true);
    worker.start();
    try {
      worker.join(timeout.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    boolean isDrained = drained.getCount() == 0;
    log.info(isDrained ? "drain ended" : "drain failed or took too long");
    return isDrained ? ExitStatus.OK : ExitStatus.FAILED;
  }

  private void close(CountDownLatch drained, Logger log) {
    try {
      router.close();
      drained.countDown();
    } catch (Exception e) {
      log.error("drain failed", e);
    }
  }
}
