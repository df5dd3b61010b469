package org.dandelionbeam.daemon;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drains a router when the process gets SIGTERM or SIGINT.
 *
 * <p>The JVM runs its shutdown hooks once, so a second signal has no effect while they run. The
 * drain has a timeout, and SIGKILL ends the process at once.
 */
final class GracefulStop {
  private final AutoCloseable router;
  private final Duration timeout;

  private GracefulStop(AutoCloseable router, Duration timeout) {
    this.router = router;
    this.timeout = timeout;
  }

  static GracefulStop of(AutoCloseable router, Duration timeout) {
    return new GracefulStop(requireNonNull(router, "router"), requireNonNull(timeout, "timeout"));
  }

  /** Installs a shutdown hook that drains the router before a signal ends the process. */
  void install() {
    Thread hook = new Thread(() -> Runtime.getRuntime().halt(drain().status()), "graceful-stop");
    Runtime.getRuntime().addShutdownHook(hook);
  }

  /** Blocks until the process ends. */
  static void awaitEnd() {
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Drains the router; returns {@code FAILED} if the drain fails or exceeds the timeout. */
  ExitStatus drain() {
    Logger log = LoggerFactory.getLogger(GracefulStop.class);
    log.info("drain started, timeout {} s", timeout.toSeconds());
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
    log.info(isDrained ? "drain ended" : "drain failed or exceeded its timeout");
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
