package org.dandelionbeam.entry;

import java.util.function.Consumer;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.Verdict;

/**
 * Claims idempotency keys before a request is sent. Methods may be called on any thread and do not
 * block.
 */
public interface ClaimPort {

  /**
   * Claims a key for one request.
   *
   * @param team the caller's team
   * @param service the service
   * @param key the caller's idempotency key
   * @param request id of the request that is to run
   * @param onResult receives the result once, on any thread
   */
  void claim(
      TeamId team, ServiceId service, String key, RequestId request, Consumer<Answer> onResult);

  /**
   * Records how the request of a claim ended.
   *
   * @param team the caller's team
   * @param service the service
   * @param key the caller's idempotency key
   * @param request id of the request
   * @param verdict whether it ran; {@code NOT_RUN} releases the key
   * @param status HTTP status that the caller got
   */
  void finished(
      TeamId team, ServiceId service, String key, RequestId request, Verdict verdict, int status);

  /** Result of a claim. */
  sealed interface Answer {

    /** The request may run; no other request holds the key. */
    record Claimed() implements Answer {}

    /**
     * The request must not run.
     *
     * @param code code of the error for the caller
     * @param detail cause of the refusal, as one sentence
     * @param verdict whether the request that holds the key may have run
     */
    record Refused(ErrorCode code, String detail, Verdict verdict) implements Answer {}
  }
}
