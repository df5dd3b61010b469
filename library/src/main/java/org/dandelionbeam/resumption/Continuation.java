package org.dandelionbeam.resumption;

import java.util.Optional;
import org.dandelionbeam.routing.ServiceName;
import org.dandelionbeam.routing.SoftwareVersion;

/** Whether a stream that broke off may go on. */
public sealed interface Continuation {

  /**
   * It may go on at upstreams of one software version.
   *
   * @param version version that began it
   */
  record At(SoftwareVersion version) implements Continuation {}

  /**
   * It must not go on, as nothing tells for sure which version began it.
   *
   * @param reason why nothing does
   */
  record Unknown(Reason reason) implements Continuation {}

  /**
   * Decides by what the store says.
   *
   * @param service service that the stream's route leads to
   * @param recorded origin of the stream, empty if there is no record of it
   * @param only the only version that streams of the service may have begun at, empty if there are
   *     several
   * @return whether the stream may go on
   */
  static Continuation of(
      ServiceName service, Optional<StreamOrigin> recorded, Optional<SoftwareVersion> only) {
    if (recorded.isPresent() && !recorded.get().service().equals(service)) {
      return new Unknown(Reason.OTHER_SERVICE);
    }
    return recorded
        .map(StreamOrigin::version)
        .or(() -> only)
        .<Continuation>map(At::new)
        .orElseGet(() -> new Unknown(Reason.NOT_RECORDED));
  }

  /** Why it is not known which version began a stream. */
  enum Reason {
    /** The store can't be read, and what this router knows does not tell. */
    STORE_UNAVAILABLE(true),
    /** Several versions were in use, and there is no record of the stream. */
    NOT_RECORDED(false),
    /** The stream began at another service than the one that its route leads to now. */
    OTHER_SERVICE(false);

    private final boolean mayPass;

    Reason(boolean mayPass) {
      this.mayPass = mayPass;
    }

    /**
     * Tells whether a later attempt may succeed.
     *
     * @return false if the stream can never go on
     */
    public boolean mayPass() {
      return mayPass;
    }
  }
}
