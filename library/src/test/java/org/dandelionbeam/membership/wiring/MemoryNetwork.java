package org.dandelionbeam.membership.wiring;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.peer.PeerMessage;
import org.dandelionbeam.peer.PeerNetwork;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Network between the managers of one test, in memory; every message is encoded and decoded. */
final class MemoryNetwork {
  private static final ObjectMapper MAPPER = mapper();

  private final Map<NodeId, Port> ports = new ConcurrentHashMap<>();

  private static ObjectMapper mapper() {
    ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
    mapper.setAnnotationIntrospector(new JsonArrayFormat());
    return mapper;
  }

  static byte[] encode(PeerMessage message) {
    try {
      return MAPPER.writeValueAsBytes(message);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static <M> M decode(byte[] bytes, Class<M> type) {
    try {
      return MAPPER.readValue(bytes, type);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  PeerNetwork portOf(NodeId node) {
    return ports.computeIfAbsent(node, Port::new);
  }

  void cut(NodeId node) {
    ports.remove(node);
  }

  private final class Port implements PeerNetwork {
    private final NodeId self;
    private final Map<Class<?>, BiConsumer<NodeId, byte[]>> receivers = new ConcurrentHashMap<>();

    Port(NodeId self) {
      this.self = self;
    }

    @Override
    public void send(NodeId to, PeerMessage message) {
      Port port = ports.get(to);
      if (port != null && ports.containsKey(self)) {
        port.receivers
            .getOrDefault(message.getClass(), (from, bytes) -> {})
            .accept(self, encode(message));
      }
    }

    @Override
    public <M extends PeerMessage> void register(
        int type, Class<M> messageClass, BiConsumer<NodeId, M> receiver) {
      receivers.put(
          messageClass, (from, bytes) -> receiver.accept(from, decode(bytes, messageClass)));
    }

    @Override
    public void setAddress(NodeId node, String host, int port) {}
  }
}
