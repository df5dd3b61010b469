package org.dandelionbeam.peer.wiring;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.peer.PeerMessage;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

public class PeerMeshTest {
  private static final NodeId A = NodeId.of("a");
  private static final NodeId B = NodeId.of("b");
  private static final byte[] KEY = "fleet key".getBytes(StandardCharsets.UTF_8);
  private static final int LONG_TEXT = 1_200_000;
  private static final int FUZZ_INPUTS = 5_000;

  record TestMessage(int number, String text, List<TeamId> teams) implements PeerMessage {}

  record ExtendedTestMessage(int number, String text, List<TeamId> teams, long added)
      implements PeerMessage {}

  private MultiThreadIoEventLoopGroup group;

  @BeforeClass
  void startGroup() {
    group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  }

  @AfterClass
  void stopGroup() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private PeerMesh mesh(NodeId self, byte[] key) {
    return PeerMesh.of(self, key, group, (from, to) -> true, new SimpleMeterRegistry());
  }

  @Test
  public void sendDeliversMessagesInOrderWithTheAuthenticatedSender() throws Exception {
    BlockingQueue<String> received = new LinkedBlockingQueue<>();
    try (PeerMesh a = mesh(A, KEY);
        PeerMesh b = mesh(B, KEY)) {
      a.register(1, TestMessage.class, (from, note) -> {});
      b.register(1, TestMessage.class, (from, note) -> received.add(from + " " + note));
      a.setAddress(B, "127.0.0.1", b.listen("127.0.0.1", 0));
      TestMessage first = new TestMessage(1, "x", List.of(TeamId.of(7)));
      TestMessage second = new TestMessage(-5, "", List.of());
      a.send(B, first);
      a.send(B, second);
      assertEquals(received.poll(10, TimeUnit.SECONDS), "a " + first);
      assertEquals(received.poll(10, TimeUnit.SECONDS), "a " + second);
    }
  }

  @Test
  public void sendDeliversMessagesThatTogetherExceedAFrame() throws Exception {
    BlockingQueue<Integer> received = new LinkedBlockingQueue<>();
    try (PeerMesh a = mesh(A, KEY);
        PeerMesh b = mesh(B, KEY)) {
      a.register(1, TestMessage.class, (from, note) -> {});
      b.register(1, TestMessage.class, (from, note) -> received.add(note.number()));
      a.setAddress(B, "127.0.0.1", b.listen("127.0.0.1", 0));
      String text = "x".repeat(LONG_TEXT);
      for (int number = 0; number < 3; number++) {
        a.send(B, new TestMessage(number, text, List.of()));
      }
      for (Integer number = 0; number < 3; number++) {
        assertEquals(received.poll(10, TimeUnit.SECONDS), number);
      }
    }
  }

  @Test
  public void sendDeliversNothingWithoutTheFleetKey() throws Exception {
    BlockingQueue<TestMessage> received = new LinkedBlockingQueue<>();
    SimpleMeterRegistry meters = new SimpleMeterRegistry();
    try (PeerMesh stranger = mesh(A, "another key".getBytes(StandardCharsets.UTF_8));
        PeerMesh b = PeerMesh.of(B, KEY, group, (from, to) -> true, meters)) {
      stranger.register(1, TestMessage.class, (from, note) -> {});
      b.register(1, TestMessage.class, (from, note) -> received.add(note));
      stranger.setAddress(B, "127.0.0.1", b.listen("127.0.0.1", 0));
      stranger.send(B, new TestMessage(1, "x", List.of()));
      assertNull(received.poll(300, TimeUnit.MILLISECONDS));
      assertEquals(b.openConnections(), 0);
    }
  }

  @Test
  public void decodeSkipsUnknownTypesAndComponents() throws IOException {
    PeerCodec newer = new PeerCodec();
    newer.register(1, ExtendedTestMessage.class);
    newer.register(2, TestMessage.class);
    PeerCodec older = new PeerCodec();
    older.register(1, TestMessage.class);
    byte[] known = newer.encode(new ExtendedTestMessage(3, "y", List.of(), 9));
    byte[] unknown = newer.encode(new TestMessage(4, "z", List.of()));
    byte[] batch = new byte[unknown.length + known.length];
    System.arraycopy(unknown, 0, batch, 0, unknown.length);
    System.arraycopy(known, 0, batch, unknown.length, known.length);
    assertEquals(older.decode(batch, 0, batch.length), List.of(new TestMessage(3, "y", List.of())));
  }

  @Test
  public void decodeFailsOnlyWithAnIoExceptionOnRandomBytes() {
    PeerCodec codec = new PeerCodec();
    codec.register(1, TestMessage.class);
    SplittableRandom random = new SplittableRandom(11);
    for (int i = 0; i < FUZZ_INPUTS; i++) {
      byte[] bytes = new byte[random.nextInt(64)];
      random.nextBytes(bytes);
      if (bytes.length > 0 && random.nextBoolean()) {
        bytes[0] = 1;
      }
      decodeQuietly(codec, bytes);
    }
  }

  private static void decodeQuietly(PeerCodec codec, byte[] bytes) {
    try {
      codec.decode(bytes, 0, bytes.length);
    } catch (IOException e) {
      assertEquals(e.getClass().getPackageName().contains("netty"), false);
    }
  }
}
