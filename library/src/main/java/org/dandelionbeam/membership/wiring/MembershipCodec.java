package org.dandelionbeam.membership.wiring;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.membership.DomainMark;
import org.dandelionbeam.membership.Roster;
import org.dandelionbeam.membership.RosterDocument;

/** Codecs of membership's values in the platform's key-value store, which are JSON. */
final class MembershipCodec {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final TypeReference<List<DomainMark>> MARKS = new TypeReference<>() {};

  /** Encodes and decodes the value of one key. */
  interface Codec<V> {
    byte[] encode(V value);

    V decode(long revision, byte[] bytes);
  }

  private MembershipCodec() {}

  /** Returns the codec of the roster, whose epoch is the revision of its key. */
  static Codec<Roster> roster() {
    return new Codec<>() {
      @Override
      public byte[] encode(Roster value) {
        return write(RosterDocument.of(value));
      }

      @Override
      public Roster decode(long revision, byte[] bytes) {
        if (bytes.length == 0) {
          return Roster.empty().atRevision(revision);
        }
        return read(() -> MAPPER.readValue(bytes, RosterDocument.class))
            .roster()
            .atRevision(revision);
      }
    };
  }

  /** Returns the codec of the marks of failure domains. */
  static Codec<List<DomainMark>> marks() {
    return new Codec<>() {
      @Override
      public byte[] encode(List<DomainMark> value) {
        return write(value);
      }

      @Override
      public List<DomainMark> decode(long revision, byte[] bytes) {
        return bytes.length == 0
            ? List.of()
            : List.copyOf(read(() -> MAPPER.readValue(bytes, MARKS)));
      }
    };
  }

  private static byte[] write(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new FleetException(
          ErrorCode.INTERNAL, "cannot serialise as JSON a value of " + value.getClass());
    }
  }

  private static <T> T read(Reader<T> reader) {
    try {
      return reader.read();
    } catch (IOException e) {
      throw new FleetException(
          ErrorCode.INTERNAL,
          "stored value of membership is not the expected JSON: " + e.getMessage());
    }
  }

  private interface Reader<T> {
    T read() throws IOException;
  }
}
