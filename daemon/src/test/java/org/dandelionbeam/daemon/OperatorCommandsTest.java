package org.dandelionbeam.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.dandelionbeam.daemon.fleet.LocalFleet;
import org.dandelionbeam.daemon.fleet.Site;
import org.dandelionbeam.node.wiring.RouterNode;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs the operators' commands against a fleet of routers. */
public class OperatorCommandsTest {
  private static final Pattern METRIC = Pattern.compile("dandelionbeam_[a-z_]*[a-z]");
  private static final Site SITE = Site.of("demo");
  private static final String EXAMPLES = "src/main/resources/examples/";
  private static final String FILES = EXAMPLES + "demo.yaml " + EXAMPLES + "demo-site.yaml";

  private LocalFleet fleet;

  @BeforeClass
  public void startFleet() {
    fleet = LocalFleet.builder().texts(SITE.texts()).start();
    fleet.apply(List.of());
    assertTrue(fleet.awaitReady(Duration.ofSeconds(30)));
  }

  @AfterClass(alwaysRun = true)
  public void stopFleet() {
    fleet.close();
  }

  private CommandRun run(int router, String words) {
    Map<String, String> environment =
        Map.of(
            "DANDELIONBEAM_OPERATOR_KEY",
            SITE.operatorKey(),
            "DANDELIONBEAM_ROUTER",
            "http://127.0.0.1:" + fleet.router(router).callerPort());
    List<String> arguments = List.of(words.split(" "));
    return CommandRun.of((out, err) -> Main.run(Commands.all(environment), arguments, out, err));
  }

  private long revision() throws IOException {
    String answer = run(0, "config show --json").out();
    return new ObjectMapper().readTree(answer).path("revision").asLong();
  }

  @DataProvider
  public static Object[][] commands() {
    return new Object[][] {
      {"status", "state"},
      {"top", "-"},
      {"events", "config-in-force"},
      {"addresses --domain b", "lifetime seconds"},
      {"config show", "revision"},
      {"config diff " + FILES, "~ upstreams[engine-1].port"},
      {"domain leave a", "leaving  true"},
      {"domain return a", "leaving  false"},
    };
  }

  @Test(dataProvider = "commands")
  public void anyRouterAnswers(String words, String expected) {
    CommandRun run = run(1, words);

    assertEquals(run.status(), 0, run.err());
    assertTrue(run.out().contains(expected), run.out());
  }

  @Test(dependsOnMethods = "anyRouterAnswers")
  public void secondOfTwoConcurrentChangesGetsConflictWithTheDifference() throws IOException {
    String apply = "config apply " + FILES + " --expected-revision " + revision();
    Path other = Files.createTempFile("demo", ".yaml");
    Files.writeString(
        other, Files.readString(Path.of(EXAMPLES + "demo.yaml")).replace("weight: 4", "weight: 5"));

    CommandRun first = run(0, apply);
    CommandRun second = run(2, apply.replace(EXAMPLES + "demo.yaml", other.toString()));

    assertEquals(first.status(), 0, first.err());
    assertEquals(second.status(), 1);
    assertTrue(second.err().startsWith("CONFLICT: "), second.err());
    assertTrue(second.err().contains("~ teams[registration].weight: 4 -> 5"), second.err());
  }

  @Test
  public void everyMetricOfTheOperationsPageIsScraped() throws Exception {
    post("/v1/services/ledger/bookings", SITE.teamKey("registration"));
    post("/v1/services/none/bookings", SITE.teamKey("registration"));
    Set<String> named =
        METRIC
            .matcher(Files.readString(Path.of("..", "docs", "OPERATIONS.md")))
            .results()
            .map(MatchResult::group)
            .collect(Collectors.toCollection(TreeSet::new));

    assertFalse(named.isEmpty());
    // The owner counts a request shortly after the caller has received the response.
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (!named.isEmpty() && System.nanoTime() - end < 0) {
      named.removeAll(scraped());
    }
    assertEquals(named, Set.of());
  }

  private Set<String> scraped() {
    StringBuilder scrape = new StringBuilder();
    for (RouterNode router : fleet.routers()) {
      scrape.append(router.meters().scrape());
    }
    return METRIC.matcher(scrape).results().map(MatchResult::group).collect(Collectors.toSet());
  }

  private void post(String path, String key) throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + fleet.router(0).callerPort() + path))
            .header("Authorization", "Bearer " + key)
            .POST(BodyPublishers.ofString("{\"reference\":\"seat\"}"))
            .build();
    HttpClient.newHttpClient().send(request, BodyHandlers.discarding());
  }

  @Test
  public void keyOfATeamIsRefusedForOperators() {
    Map<String, String> environment =
        Map.of(
            "DANDELIONBEAM_OPERATOR_KEY",
            SITE.teamKey("registration"),
            "DANDELIONBEAM_ROUTER",
            "http://127.0.0.1:" + fleet.router(0).callerPort());

    CommandRun run =
        CommandRun.of(
            (out, err) -> Main.run(Commands.all(environment), List.of("status"), out, err));

    assertEquals(run.status(), 1);
    assertTrue(run.err().startsWith("UNAUTHORIZED: "), run.err());
  }
}
