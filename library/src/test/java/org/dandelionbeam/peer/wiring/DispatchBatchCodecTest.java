package org.dandelionbeam.peer.wiring;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import org.dandelionbeam.dispatch.DispatchBatch;
import org.dandelionbeam.dispatch.DispatchMessage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DispatchBatchCodecTest {
  private static final int BYTES_PER_MESSAGE = 64;

  @DataProvider
  public Object[][] batches() {
    DispatchMessage.Ask ask =
        new DispatchMessage.Ask(1 << 30, 6_100, 3, 1, 37, 0, 200f, 60_000, List.of(), 1e6f);
    DispatchMessage.Ask avoiding =
        new DispatchMessage.Ask(1 << 30, 1, 1, 0, -1, -5L, 1f, 1, List.of(3, 920), 0f);
    return new Object[][] {
      {List.of(ask)},
      {List.of(avoiding)},
      {
        List.of(new DispatchMessage.Granted(1 << 30, 920), new DispatchMessage.Advert(920, 3, 1e6f))
      },
      {
        List.of(
            new DispatchMessage.Queued(1 << 30, 1, 40, 2_000),
            new DispatchMessage.Advert(920, 0, 1e6f))
      },
      {List.of(new DispatchMessage.Used(1 << 30))},
      {List.of(new DispatchMessage.Ended(1 << 30, 0, 812.5f, 420_000, 8_000_000))},
      {
        List.of(
            new DispatchMessage.Withdrawn(1 << 30), new DispatchMessage.Refused(1 << 30, 14, 1_000))
      },
      {List.of(new DispatchMessage.Carried(1 << 30, 6_100, 920, 60_000))},
    };
  }

  @Test(dataProvider = "batches")
  public void decodeReturnsTheEncodedBatchOfAtMost64Bytes(List<DispatchMessage> lines)
      throws IOException {
    PeerCodec codec = new PeerCodec();
    codec.register(10, DispatchBatch.class);
    DispatchBatch batch = DispatchBatch.of(-123_456_789, 1_600, lines);
    byte[] bytes = codec.encode(batch);
    assertEquals(codec.decode(bytes, 0, bytes.length), List.of(batch));
    assertTrue(bytes.length <= BYTES_PER_MESSAGE, bytes.length + " bytes for " + lines);
  }
}
