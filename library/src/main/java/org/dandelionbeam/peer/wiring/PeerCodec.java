package org.dandelionbeam.peer.wiring;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.IntFunction;
import java.util.function.ToIntFunction;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.FleetException;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.peer.PeerMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes batches of peer messages as a sequence of MessagePack values: for each message its type
 * number, then, as binary, the array of its components.
 *
 * <p>Unknown types are skipped, unknown components at the end are ignored and missing ones read as
 * zero, empty or null, so nodes of adjacent versions can communicate.
 */
final class PeerCodec {
  private static final int MAX_BODY_BYTES = 2 << 20;

  private final ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
  private final Map<Integer, Class<? extends PeerMessage>> classes = new ConcurrentHashMap<>();
  private final Map<Class<? extends PeerMessage>, Integer> types = new ConcurrentHashMap<>();

  PeerCodec() {
    mapper.setAnnotationIntrospector(new JsonArrayFormat());
    mapper.registerModule(idModule());
    mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
  }

  void register(int type, Class<? extends PeerMessage> messageClass) {
    if (type < 1 || type > Byte.MAX_VALUE) {
      throw new IllegalArgumentException("message type must be from 1 to 127: " + type);
    }
    Class<?> earlier = classes.putIfAbsent(type, messageClass);
    if (earlier != null && earlier != messageClass) {
      throw new IllegalArgumentException(
          "message type " + type + " is already registered for " + earlier);
    }
    types.put(messageClass, type);
  }

  byte[] encode(PeerMessage message) {
    Integer type = requireNonNull(types.get(message.getClass()), "message class is not registered");
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      byte[] body = mapper.writeValueAsBytes(message);
      packer.packInt(type);
      packer.packBinaryHeader(body.length);
      packer.writePayload(body);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new FleetException(ErrorCode.INTERNAL, "cannot encode " + message.getClass());
    }
  }

  List<PeerMessage> decode(byte[] batch, int offset, int length) throws IOException {
    List<PeerMessage> messages = new ArrayList<>();
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(batch, offset, length)) {
      while (unpacker.hasNext()) {
        decodeNext(unpacker, messages);
      }
    } catch (RuntimeException e) {
      throw new IOException("malformed peer message", e);
    }
    return messages;
  }

  private void decodeNext(MessageUnpacker unpacker, List<PeerMessage> messages) throws IOException {
    Class<? extends PeerMessage> messageClass = classes.get(unpacker.unpackInt());
    int bodyLength = unpacker.unpackBinaryHeader();
    if (bodyLength > MAX_BODY_BYTES) {
      throw new IOException("peer message of " + bodyLength + " bytes exceeds the limit");
    }
    byte[] body = unpacker.readPayload(bodyLength);
    if (messageClass != null) {
      PeerMessage message = mapper.readValue(body, messageClass);
      if (message == null) {
        throw new IOException("nil in place of a peer message");
      }
      messages.add(message);
    }
  }

  private static SimpleModule idModule() {
    SimpleModule module = new SimpleModule();
    addInt(module, TeamId.class, TeamId::number, TeamId::of);
    addInt(module, ServiceId.class, ServiceId::number, ServiceId::of);
    addInt(module, ModelId.class, ModelId::number, ModelId::of);
    addInt(module, UpstreamId.class, UpstreamId::number, UpstreamId::of);
    addText(module, NodeId.class, NodeId::name, NodeId::of);
    addText(module, FailureDomain.class, FailureDomain::name, FailureDomain::of);
    addText(module, RequestId.class, RequestId::name, RequestId::of);
    return module;
  }

  private static <T> void addInt(
      SimpleModule module, Class<T> type, ToIntFunction<T> number, IntFunction<T> factory) {
    add(
        module,
        type,
        (value, out) -> out.writeNumber(number.applyAsInt(value)),
        in -> factory.apply(in.getIntValue()));
  }

  private static <T> void addText(
      SimpleModule module, Class<T> type, Function<T, String> name, Function<String, T> factory) {
    add(
        module,
        type,
        (value, out) -> out.writeString(name.apply(value)),
        in -> factory.apply(in.getText()));
  }

  private static <T> void add(
      SimpleModule module, Class<T> type, Writer<T> writer, Reader<T> reader) {
    module.addSerializer(
        type,
        new StdSerializer<T>(type) {
          private static final long serialVersionUID = 1L;

          @Override
          public void serialize(T value, JsonGenerator out, SerializerProvider provider)
              throws IOException {
            writer.write(value, out);
          }
        });
    module.addDeserializer(
        type,
        new StdDeserializer<T>(type) {
          private static final long serialVersionUID = 1L;

          @Override
          public T deserialize(JsonParser in, DeserializationContext context) throws IOException {
            return reader.read(in);
          }
        });
  }

  private interface Writer<T> {
    void write(T value, JsonGenerator out) throws IOException;
  }

  private interface Reader<T> {
    T read(JsonParser in) throws IOException;
  }
}
