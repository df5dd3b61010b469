package org.dandelionbeam.daemon.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.dandelionbeam.standins.EngineStandIn;
import org.dandelionbeam.standins.Fault;
import org.dandelionbeam.standins.FaultPlan;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LoadCommandTest {
  private static final String MIX = "src/test/resources/load/mix.yaml";
  private static final String ADDRESS = "127.0.0.1:1";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private EngineStandIn engine;
  private Path directory;

  @BeforeMethod
  public void start() throws Exception {
    engine = EngineStandIn.builder().tokensPerSecond(50_000).start();
    directory = Files.createTempDirectory("load");
    out.reset();
    err.reset();
  }

  @AfterMethod
  public void stop() throws Exception {
    engine.close();
    try (var files = Files.list(directory)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(directory);
  }

  private int run(String... args) {
    return LoadCommand.run(List.of(args), new PrintStream(out, true), new PrintStream(err, true));
  }

  private int load(String... more) {
    List<String> args = new ArrayList<>(List.of("--address", "127.0.0.1:" + engine.port()));
    args.addAll(List.of("--mix", MIX, "--rate", "500", "--count", "100", "--seed", "7"));
    args.addAll(List.of(more));
    return run(args.toArray(String[]::new));
  }

  private JsonNode json() throws Exception {
    return new ObjectMapper().readTree(directory.resolve("r.json").toFile());
  }

  @Test
  public void everyRequestOfALoadIsAnsweredCheckedAndReported() throws Exception {
    int status = load("--json", directory + "/r.json", "--plot", directory + "/r.png");
    assertEquals(status, 0, err.toString());
    JsonNode report = json();
    assertEquals(report.at("/outcomes/ANSWERED").asInt(), 100, report.toString());
    assertTrue(report.at("/classes/small stream/firstTokenMillis/p95.0").asDouble() > 0);
    assertTrue(out.toString().contains("fairness gap on model camp"), out.toString());
    byte[] plot = Files.readAllBytes(directory.resolve("r.png"));
    assertEquals(new String(plot, 1, 3), "PNG");
  }

  @DataProvider
  Object[][] faults() {
    return new Object[][] {
      {Fault.CROSSED, 1, "/outcomes/WRONG"},
      {Fault.OVERLOADED, 0, "/outcomes/REFUSED"},
      {Fault.RESET_MID_BODY, 0, "/outcomes/FAILED"},
      {Fault.RESET_BEFORE_RUN, 0, "/outcomes/FAILED"},
    };
  }

  @Test(dataProvider = "faults")
  public void faultIsCountedForWhatItIs(Fault fault, int status, String count) throws Exception {
    engine.arm(FaultPlan.once(fault));
    assertEquals(load("--json", directory + "/r.json"), status);
    JsonNode report = json();
    assertEquals(report.at(count).asInt(), 1, report.toString());
    assertEquals(report.at("/outcomes/ANSWERED").asInt(), 99, report.toString());
  }

  @Test
  public void latencyCountsFromTheIntendedStart() throws Exception {
    Duration delay = Duration.ofMillis(100);
    engine.arm(FaultPlan.once(Fault.SLOW).withDelay(delay));
    assertEquals(load("--connections", "1", "--json", directory + "/r.json"), 0);
    JsonNode report = json();
    double median = report.at("/classes/large stream/totalMillis/p50.0").asDouble();
    assertTrue(
        median > delay.toMillis() / 4.0,
        "time waiting behind a slow response is counted: " + median);
  }

  @DataProvider
  Object[][] wrongFlags() {
    return new Object[][] {
      {new String[] {"--address", "192.0.2.1:80", "--mix", MIX}, List.of("--address")},
      {new String[] {"--address", "example.org:80", "--mix", MIX}, List.of("--address")},
      {
        new String[] {
          "--address", "x", "--mix", "none", "--rate", "0", "--seed", "s", "--count=-1"
        },
        List.of("--address", "--mix", "--rate", "--seed", "--count")
      },
      {new String[] {"--address", ADDRESS, "--mix", MIX, "word"}, List.of("word")},
      {new String[] {"--unknown"}, List.of("--unknown")},
      {new String[] {"--address", ADDRESS, "--mix", "pom.xml"}, List.of("pom.xml")},
    };
  }

  @Test(dataProvider = "wrongFlags")
  public void everyWrongFlagIsNamedAtOnce(String[] args, List<String> named) {
    assertEquals(run(args), 2);
    named.forEach(word -> assertTrue(err.toString().contains(word), err.toString()));
    assertEquals(out.toString(), "");
  }

  @Test
  public void exampleMixIsValid() {
    assertEquals(Mix.read(Path.of("src/main/resources/examples/mix.yaml")).teams().size(), 2);
  }

  @Test
  public void helpNamesEveryFlag() {
    assertEquals(run("--help"), 0);
    LoadOptions.options()
        .getOptions()
        .forEach(
            flag -> assertTrue(out.toString().contains("--" + flag.getLongOpt()), out.toString()));
  }
}
