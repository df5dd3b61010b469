package org.dandelionbeam.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SseEventReaderTest {

  private static String event(long offset) {
    return "id: " + offset + "\ndata: word" + offset + "\n\n";
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  public void readCutsEventsWhereverTheBytesAreSplit() {
    String stream = event(1) + event(2) + event(3) + "data: [DONE]\n\n";
    SplittableRandom random = new SplittableRandom(3);
    for (int run = 0; run < 200; run++) {
      List<String> got = new ArrayList<>();
      SseEventReader reader = SseEventReader.of((offset, data) -> got.add(offset + data), 0);
      int at = 0;
      while (at < stream.length()) {
        int end = Math.min(stream.length(), at + 1 + random.nextInt(9));
        assertTrue(reader.read(bytes(stream.substring(at, end))));
        at = end;
      }
      assertEquals(got, List.of("1word1", "2word2", "3word3"));
      assertTrue(reader.isDone());
    }
  }

  @Test
  public void readSkipsEventsThatTheCallerHasReceived() {
    List<Long> got = new ArrayList<>();
    SseEventReader reader = SseEventReader.of((offset, data) -> got.add(offset), 2);
    assertTrue(reader.read(bytes(event(1) + event(2) + event(3))));
    assertEquals(got, List.of(3L));
  }

  @DataProvider
  Object[][] brokenStreams() {
    return new Object[][] {
      {event(2)},
      {event(1) + event(3)},
      {"id: x\ndata: y\n\n"},
      {"data: no offset\n\n"},
      {"id: 1\ndata: " + "z".repeat(300 << 10)},
    };
  }

  @Test(dataProvider = "brokenStreams")
  public void readReturnsFalseOnABrokenStream(String stream) {
    SseEventReader reader = SseEventReader.of((offset, data) -> {}, 0);
    assertFalse(reader.read(bytes(stream)));
  }

  @Test
  public void discardPartialEventForgetsAPartlyReadEvent() {
    List<String> got = new ArrayList<>();
    SseEventReader reader = SseEventReader.of((offset, data) -> got.add(data), 0);
    reader.read(bytes(event(1) + "id: 2\ndata: wo"));
    reader.discardPartialEvent();
    assertTrue(reader.read(bytes(event(2))));
    assertEquals(got, List.of("word1", "word2"));
    assertFalse(reader.isDone());
  }
}
