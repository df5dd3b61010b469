package org.dandelionbeam.daemon.load;

/**
 * How a request ended.
 *
 * @param type category of the outcome
 * @param code error code of the response or name of the fault, empty if the request was answered
 * @param verdict verdict of a refusal, {@code NONE} if it has none; empty for other types
 */
public record Outcome(Type type, String code, String verdict) {
  private static final Outcome ANSWERED = new Outcome(Type.ANSWERED, "", "");

  static Outcome answered() {
    return ANSWERED;
  }

  static Outcome refused(String code, String verdict) {
    return new Outcome(Type.REFUSED, code, verdict);
  }

  static Outcome failed(String code) {
    return new Outcome(Type.FAILED, code, "");
  }

  static Outcome wrong(String code) {
    return new Outcome(Type.WRONG, code, "");
  }

  /** Categories of outcomes. */
  public enum Type {
    /** The complete and correct response arrived. */
    ANSWERED,
    /** The response was an error. */
    REFUSED,
    /** No complete response arrived: no connection, a closed connection or a timeout. */
    FAILED,
    /** The response looked complete, but was partial or belonged to another request. */
    WRONG
  }
}
