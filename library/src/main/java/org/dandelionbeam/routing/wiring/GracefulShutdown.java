package org.dandelionbeam.routing.wiring;

import static java.util.Objects.requireNonNull;

import io.netty.channel.Channel;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.dandelionbeam.routing.DrainWindow;

/**
 * Ends the service of a router: it goes on listening while callers may know its address, and
 * finishes, refuses or interrupts open requests. Confined to one event loop.
 */
final class GracefulShutdown {
  /**
   * Callers may use a cached address for up to three cache lifetimes of two seconds after its
   * removal.
   */
  private static final Duration LISTEN_TIME = Duration.ofMillis(5_500);

  /**
   * Idle connections are closed earlier than the listener, so that their callers look for another
   * router.
   */
  private static final Duration KEEP_IDLE_TIME = Duration.ofMillis(2_200);

  private static final Duration CHECK_INTERVAL = Duration.ofMillis(12);
  private static final Duration WAITING_CHECK_INTERVAL = PeriodicTasks.TICK;

  /** Time for the last responses to be written. */
  private static final Duration FLUSH_TIME = Duration.ofMillis(50);

  private final RouterContext context;
  private final Channel listener;
  private final PeriodicTasks periodic;
  private final BooleanSupplier safeToLeave;

  private GracefulShutdown(
      RouterContext context,
      Channel listener,
      PeriodicTasks periodic,
      BooleanSupplier safeToLeave) {
    this.context = requireNonNull(context, "context");
    this.listener = requireNonNull(listener, "listener");
    this.periodic = requireNonNull(periodic, "periodic");
    this.safeToLeave = requireNonNull(safeToLeave, "safeToLeave");
  }

  /** Creates a shutdown that has not begun, which waits until it is safe to leave. */
  static GracefulShutdown of(
      RouterContext context,
      Channel listener,
      PeriodicTasks periodic,
      BooleanSupplier safeToLeave) {
    return new GracefulShutdown(context, listener, periodic, safeToLeave);
  }

  /**
   * Begins to drain.
   *
   * @param limit time after which the remaining requests are given up
   * @param done runs when no connection is left and it is safe to leave, or soon after the limit
   */
  void start(Duration limit, Runnable done) {
    long now = System.nanoTime();
    Duration listenTime = limit.compareTo(LISTEN_TIME) < 0 ? limit : LISTEN_TIME;
    context.startDraining(DrainWindow.of(now, limit));
    context.log().line("leaving").with("open_connections", openCount()).write();
    scheduleOnce(KEEP_IDLE_TIME, () -> forEachConnection(CallerConnection::closeIfIdle));
    scheduleOnce(listenTime, listener::close);
    periodic.add(
        WAITING_CHECK_INTERVAL, () -> forEachConnection(CallerConnection::refuseIfTooLate));
    awaitDrained(now + limit.toNanos(), now + listenTime.toNanos(), done);
  }

  private void awaitDrained(long deadlineNanos, long notBeforeNanos, Runnable done) {
    long now = System.nanoTime();
    boolean idle = context.connections().isEmpty() && now - notBeforeNanos > 0;
    if (idle && safeToLeave.getAsBoolean()) {
      finish(done);
    } else if (now - deadlineNanos > 0) {
      context.log().line("interrupting").with("open_connections", openCount()).write();
      forEachConnection(CallerConnection::interrupt);
      scheduleOnce(FLUSH_TIME, () -> finish(done));
    } else {
      scheduleOnce(CHECK_INTERVAL, () -> awaitDrained(deadlineNanos, notBeforeNanos, done));
    }
  }

  private void finish(Runnable done) {
    context.log().line("left").with("open_connections", openCount()).write();
    done.run();
  }

  private int openCount() {
    return context.connections().size();
  }

  private void forEachConnection(Consumer<CallerConnection> action) {
    List.copyOf(context.connections())
        .forEach(connection -> context.log().guarded(() -> action.accept(connection)).run());
  }

  private void scheduleOnce(Duration delay, Runnable task) {
    Runnable guarded = context.log().guarded(task);
    context.loop().schedule(guarded, delay.toMillis(), TimeUnit.MILLISECONDS);
  }
}
