package org.dandelionbeam.scheduling;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dandelionbeam.routing.RequestDigest;
import org.dandelionbeam.routing.UpstreamLoad;

/**
 * Message of the router of a caller to a scheduler. Messages may be lost; each one may be repeated.
 */
public sealed interface ScheduleRequest {

  /**
   * Submits a request.
   *
   * @param id number of the submission, unique at its router
   * @param submission the request
   */
  record Submit(long id, Submission submission) implements ScheduleRequest {}

  /**
   * Withdraws a submission that was not granted yet.
   *
   * @param id number of the submission
   */
  record Cancel(long id) implements ScheduleRequest {}

  /**
   * Reports the first output of a granted request.
   *
   * @param id number of the submission
   * @param elapsedNanos time since the request was sent to the upstream
   */
  record FirstOutput(long id, long elapsedNanos) implements ScheduleRequest {}

  /**
   * Reports the end of a granted request at its upstream.
   *
   * @param id number of the submission
   * @param outcome how it ended
   */
  record End(long id, Outcome outcome) implements ScheduleRequest {}

  /**
   * Lists the submissions of a router that wait at the receiver or occupy an upstream that it
   * schedules. It makes up for lost messages and informs a new scheduler.
   *
   * @param waiting numbers of the submissions without a decision
   * @param running submissions that were granted and have not ended
   */
  record Sync(List<Long> waiting, List<Running> running) implements ScheduleRequest {
    /** Waiting and running submissions in one message. */
    private static final int MAX_ENTRIES = 30;

    /** Copies the lists. */
    public Sync {
      waiting = List.copyOf(waiting);
      running = List.copyOf(running);
    }

    /**
     * Creates messages of bounded length.
     *
     * @param waiting numbers of the waiting submissions
     * @param running granted submissions that have not ended
     * @return messages that together hold all of them
     */
    static List<Sync> split(List<Long> waiting, List<Running> running) {
      List<Sync> parts = new ArrayList<>();
      int longest = Math.max(waiting.size(), running.size());
      for (int from = 0; from < longest; from += MAX_ENTRIES) {
        parts.add(new Sync(part(waiting, from), part(running, from)));
      }
      return parts;
    }

    private static <T> List<T> part(List<T> entries, int from) {
      int start = Math.min(entries.size(), from);
      return entries.subList(start, Math.min(entries.size(), from + MAX_ENTRIES));
    }
  }

  /**
   * A granted submission that has not ended.
   *
   * @param id number of the submission
   * @param digest digest of the request, empty if it isn't known
   * @param upstream number of the upstream
   * @param load load that it adds to the upstream
   * @param outputSeen whether the upstream has begun to respond
   */
  record Running(
      long id,
      Optional<RequestDigest> digest,
      int upstream,
      UpstreamLoad load,
      boolean outputSeen) {
    /** Checks the values. */
    public Running {
      requireNonNull(digest, "digest");
      requireNonNull(load, "load");
    }
  }
}
