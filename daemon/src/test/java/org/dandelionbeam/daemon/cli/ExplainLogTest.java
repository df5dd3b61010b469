package org.dandelionbeam.daemon.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.dandelionbeam.daemon.Command;
import org.dandelionbeam.daemon.CommandRun;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Explains a request from logs that are mixed, truncated or written by other programs. */
public class ExplainLogTest {
  private static final String CONFIGURATION =
      "{\"time\":900,\"router\":\"a-1\",\"event\":\"configuration\",\"version\":14}\n";
  private static final String OTHER_CONFIGURATION =
      "{\"time\":950,\"router\":\"b-1\",\"event\":\"configuration\",\"version\":13}\n";
  private static final String UPSTREAM =
      "{\"time\":910,\"router\":\"a-1\",\"event\":\"upstream\",\"upstream\":\"i-7\"}\n";
  private static final String ROUTED = step("routed", 0.0, "route=r team=red");
  private static final String GRANTED = step("granted", 0.4, "upstream=i-7 in_flight=3");
  private static final String FINISHED = step("finished", 80.5, "status=502 runs=1");

  private Path log;

  private static String step(String event, double at, String detail) {
    return "   1.0145 a-1 {\"time\":1000,\"router\":\"a-1\",\"event\":\""
        + event
        + "\",\"request\":\"id-1\",\"at_ms\":\""
        + at
        + "\",\"detail\":\""
        + detail
        + "\"}\n";
  }

  @BeforeMethod
  public void makeFile() throws IOException {
    log = Files.createTempFile("router", ".log");
  }

  @AfterMethod
  public void deleteFile() throws IOException {
    Files.delete(log);
  }

  private CommandRun explain(String content, String... args) throws IOException {
    Files.write(log, content.getBytes(StandardCharsets.ISO_8859_1));
    Command explain =
        ClientCommands.all(Map.of()).stream()
            .filter(command -> command.name().equals("explain"))
            .findFirst()
            .orElseThrow();
    return CommandRun.of(explain, args);
  }

  @Test
  public void printsDecisionsInOrderAndTheStateOfTheRouter() throws IOException {
    String content = CONFIGURATION + OTHER_CONFIGURATION + UPSTREAM + FINISHED + GRANTED + ROUTED;

    CommandRun run = explain(content, "--log", log.toString(), "id-1");

    assertEquals(run.status(), 0, run.err());
    List<String> lines = run.out().lines().toList();
    assertEquals(lines.size(), 5, run.out());
    assertTrue(lines.get(0).contains("believed  configuration version=14"), run.out());
    assertTrue(lines.get(1).contains("believed  upstream upstream=i-7"), run.out());
    assertTrue(lines.get(2).contains("decided   routed"), run.out());
    assertTrue(lines.get(3).contains("upstream=i-7 in_flight=3"), run.out());
    assertTrue(lines.get(4).contains("status=502"), run.out());
    assertFalse(run.out().contains("b-1"), run.out());
    assertEquals(run.err(), "");
  }

  @Test
  public void stateFromBeforeARestartIsOmitted() throws IOException {
    String leaving = "{\"time\":800,\"router\":\"a-1\",\"event\":\"leaving\"}\n";
    String started = "{\"time\":890,\"router\":\"a-1\",\"event\":\"started\"}\n";

    CommandRun run =
        explain(
            leaving + started + CONFIGURATION + ROUTED + FINISHED, "--log", log.toString(), "id-1");

    assertFalse(run.out().contains("leaving"), run.out());
    assertTrue(run.out().contains("configuration version=14"), run.out());
  }

  @DataProvider
  public static Object[][] damaged() {
    return new Object[][] {
      {ROUTED + GRANTED + FINISHED.substring(0, 60), "1 lines are truncated"},
      {ROUTED + GRANTED, "the end of the request is missing"},
      {
        "another program\n\u00ff\u00fe\n" + ROUTED + FINISHED,
        "2 lines were not written by a router"
      },
    };
  }

  @Test(dataProvider = "damaged")
  public void reportsTruncatedMissingAndUnrelatedLines(String content, String remark)
      throws IOException {
    CommandRun run = explain(content, "--log", log.toString(), "id-1");

    assertEquals(run.status(), 0, run.err());
    assertTrue(run.err().contains(remark), run.err());
    assertTrue(run.out().contains("decided   routed"), run.out());
  }

  @Test
  public void unknownIdAndUnreadableFileAreReported() throws IOException {
    CommandRun unknown = explain(ROUTED, "--log", log.toString(), "id-2");
    assertEquals(unknown.status(), 1);
    assertTrue(unknown.err().contains("NOT_FOUND: no line of request id-2"), unknown.err());

    CommandRun unreadable = explain(ROUTED, "--log", log + ".gone", "id-1");
    assertEquals(unreadable.status(), 1);
    assertTrue(unreadable.err().contains("can't be read"), unreadable.err());
  }

  @Test
  public void wrongArgumentsAreReported() throws IOException {
    CommandRun run = explain(ROUTED, "--log", log.toString());
    assertEquals(run.status(), 2);
    assertTrue(run.err().contains("INVALID_SETTING REQUEST"), run.err());
  }
}
