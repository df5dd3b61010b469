package org.dandelionbeam.runtime;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.PriorityQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Thread of one duty, fed through a bounded ring.
 *
 * <p>A full ring rejects the event: {@link #offer} returns false and the event counts as dropped.
 */
public final class DutyThread implements Executor, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(DutyThread.class);
  private static final int QUEUE_CAPACITY = 1 << 14;
  private static final int MAX_BATCH_EVENTS = 256;
  private static final long STOP_TIMEOUT_MILLIS = 2_000;
  private static final long MAX_PARK_NANOS = Duration.ofSeconds(1).toNanos();

  private final MpscArrayQueue<Runnable> queue = new MpscArrayQueue<>(QUEUE_CAPACITY);
  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final LongAdder dropped = new LongAdder();
  private final Thread thread;
  private volatile boolean running = true;
  private volatile boolean parked;
  private long timerSequence;

  private DutyThread(String name) {
    thread = new Thread(this::run, name);
    thread.setDaemon(true);
  }

  /**
   * Starts a thread.
   *
   * @param name the name of the thread, for logs and dumps
   * @return the running thread
   */
  public static DutyThread start(String name) {
    DutyThread started = new DutyThread(requireNonNull(name, "name"));
    started.thread.start();
    return started;
  }

  /**
   * Puts an event into the ring.
   *
   * @param event the event, run on this duty's thread
   * @return false if the ring is full and the event was dropped
   */
  public boolean offer(Runnable event) {
    boolean accepted = running && queue.offer(requireNonNull(event, "event"));
    if (!accepted) {
      dropped.increment();
      return false;
    }
    if (parked) {
      LockSupport.unpark(thread);
    }
    return true;
  }

  @Override
  public void execute(Runnable event) {
    if (!offer(event)) {
      LOG.warn("event dropped, ring of {} is full or stopped", thread.getName());
    }
  }

  /**
   * Runs a task repeatedly on this duty's thread, after a first wait of one period.
   *
   * @param period time between two runs
   * @param task the task
   */
  public void every(Duration period, Runnable task) {
    execute(() -> addTimer(period.toNanos(), period.toNanos(), task));
  }

  /**
   * Runs a task once on this duty's thread.
   *
   * @param delay time to wait
   * @param task the task
   */
  public void after(Duration delay, Runnable task) {
    execute(() -> addTimer(delay.toNanos(), 0, task));
  }

  /**
   * Returns how many events a full ring rejected.
   *
   * @return the count since the start
   */
  public long dropped() {
    return dropped.sum();
  }

  /**
   * Tells whether the caller runs on this duty's thread.
   *
   * @return true on the duty's own thread
   */
  public boolean isCurrent() {
    return Thread.currentThread() == thread;
  }

  /** Stops the thread after the events that are already in the ring. */
  @Override
  public void close() {
    running = false;
    LockSupport.unpark(thread);
    if (isCurrent()) {
      return;
    }
    try {
      thread.join(STOP_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void addTimer(long delayNanos, long periodNanos, Runnable task) {
    long due = System.nanoTime() + delayNanos;
    timers.add(new Timer(due, timerSequence++, periodNanos, requireNonNull(task, "task")));
  }

  private void run() {
    while (running || !queue.isEmpty()) {
      int handled = queue.drain(this::handle, MAX_BATCH_EVENTS);
      long wait = runTimers();
      if (handled == 0 && running) {
        park(wait);
      }
    }
  }

  private void park(long nanos) {
    parked = true;
    if (queue.isEmpty()) {
      LockSupport.parkNanos(this, nanos);
    }
    parked = false;
  }

  private long runTimers() {
    while (!timers.isEmpty()) {
      long now = System.nanoTime();
      Timer next = timers.peek();
      if (next.dueNanos - now > 0) {
        return next.dueNanos - now;
      }
      timers.poll();
      handle(next.task);
      if (next.periodNanos > 0) {
        long due = Math.max(next.dueNanos + next.periodNanos, now);
        timers.add(new Timer(due, timerSequence++, next.periodNanos, next.task));
      }
    }
    return MAX_PARK_NANOS;
  }

  private void handle(Runnable event) {
    try {
      event.run();
    } catch (RuntimeException e) {
      LOG.error("event failed on {}", thread.getName(), e);
    }
  }

  private record Timer(long dueNanos, long sequence, long periodNanos, Runnable task)
      implements Comparable<Timer> {
    @Override
    public int compareTo(Timer other) {
      int byDue = Long.compare(dueNanos - other.dueNanos, 0);
      return byDue != 0 ? byDue : Long.compare(sequence, other.sequence);
    }
  }
}
