package org.dandelionbeam.entry;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.apache.commons.codec.digest.HmacAlgorithms;
import org.apache.commons.codec.digest.HmacUtils;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;

/**
 * Position in a stream from which any router can resume it. Its text form is the event id that
 * callers get; an HMAC with the fleet key binds it to the team that started the stream.
 *
 * @param upstream the engine that runs the exchange
 * @param exchange id of the exchange at the engine
 * @param offset offset of the last event that the caller has received, 0 for none
 */
public record StreamPosition(UpstreamId upstream, RequestId exchange, long offset) {
  private static final int TAG_CHARACTERS = 24;
  private static final String SEPARATOR = ".";
  private static final int PARTS = 4;

  /** Rejects a missing upstream or exchange. */
  public StreamPosition {
    requireNonNull(upstream, "upstream");
    requireNonNull(exchange, "exchange");
  }

  /**
   * Returns the prefix that the text forms of all positions of a stream share.
   *
   * @param fleetKey secret of the fleet
   * @param team the team that may resume the stream
   * @return the prefix, to which the offset is appended
   */
  public String prefix(byte[] fleetKey, TeamId team) {
    String body = upstream.number() + SEPARATOR + exchange.name();
    return tag(fleetKey, team, body) + SEPARATOR + body + SEPARATOR;
  }

  /**
   * Parses the text form of a position and checks its HMAC.
   *
   * @param text prefix and offset, as sent by a caller
   * @param fleetKey secret of the fleet
   * @param team the caller's team
   * @return the position, empty if the text is malformed or belongs to another team or fleet
   */
  public static Optional<StreamPosition> parse(String text, byte[] fleetKey, TeamId team) {
    String[] parts = text.split("\\.", -1);
    if (parts.length != PARTS) {
      return Optional.empty();
    }
    String body = parts[1] + SEPARATOR + parts[2];
    if (!tag(fleetKey, team, body).equals(parts[0])) {
      return Optional.empty();
    }
    try {
      UpstreamId upstream = UpstreamId.of(Integer.parseInt(parts[1]));
      long offset = Long.parseLong(parts[3]);
      return offset < 0
          ? Optional.empty()
          : Optional.of(new StreamPosition(upstream, RequestId.of(parts[2]), offset));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static String tag(byte[] fleetKey, TeamId team, String body) {
    return new HmacUtils(HmacAlgorithms.HMAC_SHA_256, fleetKey)
        .hmacHex("stream " + team.number() + SEPARATOR + body)
        .substring(0, TAG_CHARACTERS);
  }
}
