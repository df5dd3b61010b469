package org.dandelionbeam.peer.wiring;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.fail;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.dandelionbeam.peer.PeerMessage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Decodes mutated messages, which must yield messages or an IOException and no other failure.
 * {@code -Dfuzz.inputs=N} sets the number of inputs for each message type.
 */
public class PeerCodecFuzzTest {
  private static final int INPUTS = Integer.getInteger("fuzz.inputs", 2_000);
  private static final int MAX_MUTATIONS = 4;
  private static final long MAX_MILLIS = 600_000;
  private static final byte[] LONG_HEADERS = {
    (byte) 0xc6, (byte) 0xc9, (byte) 0xdb, (byte) 0xdd, (byte) 0xdf
  };
  private static final byte NIL = (byte) 0xc0;
  private static final byte BIN8 = (byte) 0xc4;

  private final PeerCodec codec = TypicalMessages.codec();

  @DataProvider
  Object[][] messages() {
    return TypicalMessages.byType().entrySet().stream()
        .map(typed -> new Object[] {typed.getKey(), typed.getValue()})
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "messages")
  public void decodeReadsWhatEncodeWrote(int type, PeerMessage message) throws IOException {
    byte[] bytes = codec.encode(message);
    List<PeerMessage> read = codec.decode(bytes, 0, bytes.length);
    assertEquals(read.size(), 1);
    assertEquals(codec.encode(read.get(0)), bytes, "type " + type);
  }

  @Test(dataProvider = "messages", timeOut = MAX_MILLIS)
  public void decodeOfAMutatedMessageGivesMessagesOrAnIoException(int type, PeerMessage message) {
    byte[] valid = codec.encode(message);
    SplittableRandom random = new SplittableRandom(type);
    for (int input = 0; input < INPUTS; input++) {
      decode(mutated(valid, random), type, input);
    }
  }

  @Test(dataProvider = "messages", expectedExceptions = IOException.class)
  public void decodeRefusesNilInPlaceOfAMessage(int type, PeerMessage message) throws IOException {
    codec.decode(new byte[] {(byte) type, BIN8, 1, NIL}, 0, 4);
  }

  private void decode(byte[] bytes, int type, int input) {
    try {
      assertFalse(codec.decode(bytes, 0, bytes.length).contains(null), "a message is null");
    } catch (IOException expected) {
      // The decoder may reject mutated bytes.
    } catch (RuntimeException | Error thrown) {
      fail("type %d, input %d: %s".formatted(type, input, Arrays.toString(bytes)), thrown);
    }
  }

  private static byte[] mutated(byte[] valid, SplittableRandom random) {
    byte[] bytes = valid.clone();
    int mutations = 1 + random.nextInt(MAX_MUTATIONS);
    for (int i = 0; i < mutations && bytes.length > 0; i++) {
      bytes = mutatedOnce(bytes, random);
    }
    return bytes;
  }

  private static byte[] mutatedOnce(byte[] bytes, SplittableRandom random) {
    int at = random.nextInt(bytes.length);
    switch (random.nextInt(5)) {
      case 0 -> bytes[at] ^= (byte) (1 << random.nextInt(Byte.SIZE));
      case 1 -> bytes[at] = (byte) random.nextInt();
      case 2 -> {
        return Arrays.copyOf(bytes, at);
      }
      case 3 -> {
        byte[] claim = Arrays.copyOf(bytes, Math.max(bytes.length, at + 1 + Integer.BYTES));
        claim[at] = LONG_HEADERS[random.nextInt(LONG_HEADERS.length)];
        ByteBuffer.wrap(claim).putInt(at + 1, random.nextInt() >>> random.nextInt(Integer.SIZE));
        return claim;
      }
      default -> {
        byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
        System.arraycopy(bytes, at, longer, at + 1, bytes.length - at);
        return longer;
      }
    }
    return bytes;
  }
}
