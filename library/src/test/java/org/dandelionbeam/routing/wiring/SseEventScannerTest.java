package org.dandelionbeam.routing.wiring;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Where events of a stream end. A wrong end makes a broken stream look complete. */
public class SseEventScannerTest {
  private static int scan(SseEventScanner scanner, String text) {
    int ends = 0;
    for (byte next : text.getBytes(StandardCharsets.UTF_8)) {
      ends += scanner.accept(next) ? 1 : 0;
    }
    return ends;
  }

  @DataProvider
  public Object[][] streams() {
    String longId = "x".repeat(200);
    return new Object[][] {
      {"", 0, false, ""},
      {"id: 1\ndata: a\n\n", 1, false, "1"},
      {"id: 1\ndata: a\n", 0, true, ""},
      {"id: 1\ndata: a", 0, true, ""},
      {"id: 1\ndata: a\n\nid: 2\nda", 1, true, "1"},
      {"id: 1\ndata: a\n\ni", 1, true, "1"},
      {"id: 1\ndata: a\n\ndata: b\n\n", 2, false, "1"},
      {"id: 1\r\ndata: a\r\n", 0, true, ""},
      {"id: 1\r\ndata: a\r\n\r", 1, false, "1"},
      {"id: 1\rdata: a\r\r", 1, false, "1"},
      {"id: " + longId + "\n\n", 1, false, ""},
      {": comment\n\n", 1, false, ""},
    };
  }

  @Test(dataProvider = "streams")
  public void streamIsInsideAnEventUntilAnEmptyLine(
      String text, int ends, boolean insideEvent, String lastId) {
    SseEventScanner scanner = new SseEventScanner();

    assertEquals(scan(scanner, text), ends);
    assertEquals(scanner.isInsideEvent(), insideEvent);
    assertEquals(scanner.lastEventId(), Optional.of(lastId).filter(id -> !id.isEmpty()));
  }

  @Test
  public void droppedEventLeavesNoTraceInTheNextOne() {
    SseEventScanner scanner = new SseEventScanner();
    scan(scanner, "id: 1\n\nid: 2\ndat");

    scanner.startNextUpstream();

    assertEquals(scanner.isInsideEvent(), false);
    assertEquals(scan(scanner, "data: b\n\n"), 1);
    assertEquals(scanner.lastEventId(), Optional.of("1"));
  }
}
