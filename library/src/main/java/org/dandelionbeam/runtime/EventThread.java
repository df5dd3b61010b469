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
 * Single thread that runs the events and timers of one component, fed through a bounded queue.
 *
 * <p>A full queue rejects events: {@link #offer} returns false and the event is counted as dropped.
 */
public final class EventThread implements Executor, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(EventThread.class);
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

  private EventThread(String name) {
    thread = new Thread(this::run, name);
    thread.setDaemon(true);
  }

  /**
   * Creates and starts a thread.
   *
   * @param name name of the thread, for logs and thread dumps
   * @return the running thread
   */
  public static EventThread start(String name) {
    EventThread started = new EventThread(requireNonNull(name, "name"));
    started.thread.start();
    return started;
  }

  /**
   * Adds an event to the queue.
   *
   * @param event the event, which runs on this thread
   * @return true if the event was added, false if the queue is full or the thread is stopped
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
      LOG.warn("event dropped: thread {} is stopped or its queue is full", thread.getName());
    }
  }

  /**
   * Runs a task repeatedly on this thread, for the first time after one period.
   *
   * @param period time between the starts of two runs
   * @param task the task
   */
  public void every(Duration period, Runnable task) {
    execute(() -> addTimer(period.toNanos(), period.toNanos(), task));
  }

  /**
   * Runs a task once on this thread, after a delay.
   *
   * @param delay time until the task runs
   * @param task the task
   */
  public void after(Duration delay, Runnable task) {
    execute(() -> addTimer(delay.toNanos(), 0, task));
  }

  /**
   * Returns the number of events that were rejected since the queue was full or the thread stopped.
   *
   * @return the number since the start of the thread
   */
  public long dropped() {
    return dropped.sum();
  }

  /**
   * Returns whether the calling thread is this thread.
   *
   * @return true if called from an event or task of this thread
   */
  public boolean isCurrent() {
    return Thread.currentThread() == thread;
  }

  /**
   * Stops the thread once it has run the events that are already in the queue, and waits up to two
   * seconds for it.
   */
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
      LOG.error("event failed on thread {}", thread.getName(), e);
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
