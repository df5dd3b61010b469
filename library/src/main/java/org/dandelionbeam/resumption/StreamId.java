package org.dandelionbeam.resumption;

import java.nio.ByteBuffer;
import java.util.List;
import org.dandelionbeam.routing.RequestDigest;
import org.dandelionbeam.routing.TeamName;

/**
 * Identifies a stream at all routers.
 *
 * @param value hash of the team and of the id of the attempt that brought the first event
 */
public record StreamId(long value) {
  private static final ByteBuffer NO_BODY = ByteBuffer.allocate(0);

  /**
   * Creates the identifier of a stream. Another team can't name it, even if it knows the id.
   *
   * @param team team of the caller
   * @param requestId id that the caller gave to the attempt that brought the first event
   * @return the identifier
   */
  public static StreamId of(TeamName team, String requestId) {
    List<String> fields = List.of(team.text(), requestId);
    return new StreamId(RequestDigest.of(fields, NO_BODY).value());
  }

  @Override
  public String toString() {
    return String.format("%016x", value);
  }
}
