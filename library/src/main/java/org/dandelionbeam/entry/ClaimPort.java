package org.dandelionbeam.entry;

import java.util.function.Consumer;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.Verdict;

/** Claims idempotency keys before a request leaves; safe on any thread, returns at once. */
public interface ClaimPort {

  /**
   * Claims a key for one request.
   *
   * @param team the caller's team
   * @param service the service
   * @param key the caller's idempotency key
   * @param request the request that wants to run
   * @param onResult gets the outcome once, on any thread
   */
  void claim(
      TeamId team, ServiceId service, String key, RequestId request, Consumer<Answer> onResult);

  /**
   * Records how the request of a claim ended.
   *
   * @param team the caller's team
   * @param service the service
   * @param key the caller's idempotency key
   * @param request the request
   * @param verdict whether it ran; {@code NOT_RUN} gives the key free
   * @param status HTTP status that the caller got
   */
  void finished(
      TeamId team, ServiceId service, String key, RequestId request, Verdict verdict, int status);

  /** Outcome of a claim. */
  sealed interface Answer {

    /** The request may run; no other request has the key. */
    record Claimed() implements Answer {}

    /**
     * The request must not run.
     *
     * @param code why
     * @param detail one sentence
     * @param verdict what is known of the request that holds the key
     */
    record Refused(ErrorCode code, String detail, Verdict verdict) implements Answer {}
  }
}
