package org.dandelionbeam.base;

/** Errors that are reported to callers and operators, with HTTP status and remedy. */
public enum ErrorCode {
  /** The HTTP message could not be parsed. */
  MALFORMED_REQUEST(400, "Send a well-formed HTTP/1.1 request with a JSON body in UTF-8."),
  /** The request lacks a field or has one of the wrong type. */
  INVALID_BODY(400, "Correct the field that the detail names."),
  /** The bearer key is missing or unknown. */
  UNAUTHORIZED(401, "Send a valid key in the Authorization header."),
  /** The key is known but may not make this call. */
  FORBIDDEN(403, "Use a key that is allowed to make this call."),
  /** No route, service or model has this name. */
  NOT_FOUND(404, "Check the path, the service name and the model name."),
  /** The method is not declared for this path. */
  METHOD_NOT_ALLOWED(405, "Use a method that the service declares for this path."),
  /** The caller did not send the complete request in time. */
  REQUEST_TIMEOUT(408, "Send the whole request without pauses."),
  /** The idempotency key was claimed by an earlier request. */
  ALREADY_CLAIMED(409, "Ask for the outcome of the first request; do not send it again."),
  /** The configuration revision that the change was based on is no longer in force. */
  CONFLICT(409, "Read the configuration in force, merge the change and apply it again."),
  /** The body is larger than the limit. */
  BODY_TOO_LARGE(413, "Send a smaller body."),
  /** The request line is longer than the limit. */
  URI_TOO_LONG(414, "Send a shorter request line."),
  /** The headers are larger than the limit. */
  HEADERS_TOO_LARGE(431, "Send fewer or smaller headers."),
  /** The team has too many open requests. */
  TOO_MANY_OPEN(429, "Wait for open requests of the team to end."),
  /** The queue of the team is full. */
  QUEUE_FULL(429, "Come back after the time that Retry-After gives."),
  /** The configuration has errors. */
  INVALID_CONFIG(422, "Correct the lines that the detail names."),
  /** A setting of the process is missing or wrong. */
  INVALID_SETTING(500, "Correct the flag or the environment variable that the message names."),
  /** The router failed with an unexpected internal error. */
  INTERNAL(500, "Report the request id to the operators."),
  /** The upstream closed the connection, or answered with something that is not HTTP. */
  UPSTREAM_FAILED(502, "Check the verdict before sending the request again."),
  /** The response of the upstream belongs to another request. */
  UPSTREAM_MISMATCH(502, "Check the verdict before sending the request again."),
  /** The stream broke and can't be resumed. */
  STREAM_BROKEN(502, "Start the request again."),
  /** No upstream currently serves the model or service. */
  NO_UPSTREAM(503, "Come back after the time that Retry-After gives."),
  /** The router is shutting down. */
  STOPPING(503, "Ask for the address list and use another address."),
  /** The router has no configuration or no member roster yet. */
  NOT_READY(503, "Use another address, or come back in a few seconds."),
  /** The claim of the idempotency key could not be written. */
  CLAIM_UNAVAILABLE(503, "Send the request again with the same key when the platform is back."),
  /** The platform's key-value store did not answer. */
  STORE_UNAVAILABLE(503, "Wait until the platform's service is back."),
  /** The router that owned the queue of the request failed. */
  OWNER_LOST(503, "Send the request again."),
  /** The upstream did not answer in time. */
  UPSTREAM_TIMEOUT(504, "Check the verdict before sending the request again."),
  /** The deadline passed before the request was sent to an upstream. */
  DEADLINE_EXCEEDED(504, "Come back after the time that Retry-After gives."),
  /** An operator's command could not reach a router. */
  ROUTER_UNREACHABLE(503, "Check the address, or call another router."),
  /** Upstreams crash under requests with a part of this prompt. */
  PROMPT_REFUSED(503, "Don't send this prompt before the time that Retry-After gives."),
  /** Upstreams crashed under this same request. */
  REQUEST_REFUSED(503, "Don't send this request before the time that Retry-After gives."),
  /** The router shut down before the upstream responded. */
  INTERRUPTED(502, "Check the verdict before sending the request again."),
  /** Nothing tells which software version began the stream, so no upstream may go on with it. */
  STREAM_UNKNOWN(503, "Start the request again, without the id of the last event.");

  private final int httpStatus;
  private final String remedy;

  ErrorCode(int httpStatus, String remedy) {
    this.httpStatus = httpStatus;
    this.remedy = remedy;
  }

  /**
   * Returns the HTTP status of responses with this error.
   *
   * @return a status from 400 to 599
   */
  public int httpStatus() {
    return httpStatus;
  }

  /**
   * Returns what the caller or operator can do about the error.
   *
   * @return one sentence
   */
  public String remedy() {
    return remedy;
  }
}
