package org.dandelionbeam.upstream.wiring;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Complete response of an engine to a control call.
 *
 * @param status HTTP status
 * @param body JSON body; a {@code MissingNode} if the body is empty
 */
public record EngineReply(int status, JsonNode body) {
  private static final int MIN_SUCCESS_STATUS = 200;
  private static final int MIN_REDIRECT_STATUS = 300;

  /** Checks that the body is not null. */
  public EngineReply {
    requireNonNull(body, "body");
  }

  /**
   * Tells whether the call succeeded.
   *
   * @return true for a status from 200 to 299
   */
  public boolean isSuccess() {
    return status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
  }
}
