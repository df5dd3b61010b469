package org.dandelionbeam.routing;

import static java.util.Objects.requireNonNull;

/**
 * Something that requests have which may crash the upstreams that run them.
 *
 * @param kind what it is
 * @param id identifies it among those of its kind
 */
public record Suspect(Kind kind, long id) {

  /** What is suspected; of the kinds that explain the same crashes, the first one is blamed. */
  public enum Kind {
    /** A whole request, which may come again. */
    REQUEST(Decision.RefusalReason.REQUEST_BLAMED),
    /** A part of a prompt that other requests have too. */
    PROMPT_PART(Decision.RefusalReason.PROMPT_BLAMED);

    private final Decision.RefusalReason refusalReason;

    Kind(Decision.RefusalReason refusalReason) {
      this.refusalReason = refusalReason;
    }

    /**
     * Returns why requests are refused that have a blamed suspect of this kind.
     *
     * @return the reason
     */
    public Decision.RefusalReason refusalReason() {
      return refusalReason;
    }
  }

  /** Checks the kind. */
  public Suspect {
    requireNonNull(kind, "kind");
  }

  /**
   * Returns the suspect that is a whole request.
   *
   * @param digest digest of the request
   * @return the suspect
   */
  public static Suspect of(RequestDigest digest) {
    return new Suspect(Kind.REQUEST, digest.value());
  }

  /**
   * Returns the suspect that is a part of a prompt.
   *
   * @param part the part
   * @return the suspect
   */
  public static Suspect of(PromptProfile.Part part) {
    return new Suspect(Kind.PROMPT_PART, part.hash());
  }

  @Override
  public String toString() {
    return Long.toHexString(id);
  }
}
