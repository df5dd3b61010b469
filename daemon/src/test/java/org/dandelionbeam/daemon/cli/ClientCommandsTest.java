package org.dandelionbeam.daemon.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.dandelionbeam.daemon.Command;
import org.dandelionbeam.daemon.CommandRun;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ClientCommandsTest {
  private static final Map<String, String> KEY = Map.of("DANDELIONBEAM_OPERATOR_KEY", "k3y");
  private static final String BASE = "salt: wrong\n";

  private static CommandRun run(Map<String, String> environment, String... words) {
    Command command =
        ClientCommands.all(environment).stream()
            .filter(each -> each.name().equals(words[0]))
            .findFirst()
            .orElseThrow();
    return CommandRun.of(command, Arrays.copyOfRange(words, 1, words.length));
  }

  private static CommandRun runAt(StubRouter router, String line) {
    List<String> words = new ArrayList<>(List.of(line.split(" ")));
    words.addAll(List.of("--router", router.uri()));
    return run(KEY, words.toArray(String[]::new));
  }

  private static Path example(String name) {
    return Path.of("src", "main", "resources", "examples", name);
  }

  @DataProvider
  public static Object[][] calls() {
    return new Object[][] {
      {"status", "GET /admin/v1/status", true},
      {"top", "GET /admin/v1/top", true},
      {"events", "GET /admin/v1/events", true},
      {"explain r/1?", "GET /admin/v1/explain/r%2F1%3F", true},
      {"addresses", "GET /v1/addresses", false},
      {"addresses --domain north", "GET /v1/addresses?domain=north", false},
      {"domain leave north", "POST /admin/v1/domains/north/leave", true},
      {"domain return north", "POST /admin/v1/domains/north/return", true},
      {"config show", "GET /admin/v1/config", true},
    };
  }

  @Test(dataProvider = "calls")
  public void eachCommandMakesItsCall(String words, String call, boolean sendsKey) {
    try (StubRouter router = StubRouter.respondingWith(200, "{\"done\":true}")) {
      CommandRun run = runAt(router, words);

      assertEquals(run, new CommandRun(0, "done  true\n", ""));
      assertEquals(router.lastCall().orElseThrow().line(), call);
      assertEquals(
          router.lastCall().orElseThrow().authorization(),
          sendsKey ? Optional.of("Bearer k3y") : Optional.empty());
    }
  }

  @DataProvider
  public static Object[][] configCalls() {
    return new Object[][] {
      {"diff", "", 0}, {"apply", " --expected-revision 17", 17},
    };
  }

  @Test(dataProvider = "configCalls")
  public void configurationIsSentAsText(String action, String flags, long revision)
      throws IOException {
    Path base = example("majlis.yaml");
    Path overlay = example("majlis-seri-teratai.yaml");
    try (StubRouter router = StubRouter.respondingWith(200, "{\"revision\":18}")) {
      CommandRun run = runAt(router, "config " + action + " " + base + " " + overlay + flags);

      assertEquals(run, new CommandRun(0, "revision  18\n", ""));
      assertEquals(router.lastCall().orElseThrow().line(), "POST /admin/v1/config/" + action);
      JsonNode body = new ObjectMapper().readTree(router.lastCall().orElseThrow().body());
      assertEquals(body.path("base").asText(), Files.readString(base));
      assertEquals(body.path("overlays").path(0).asText(), Files.readString(overlay));
      assertEquals(body.path("overlays").size(), 1);
      assertEquals(body.path("expectedRevision").asLong(-1), revision);
    }
  }

  @Test
  public void configCheckPrintsEveryErrorWithItsPlace() throws IOException {
    Path base = Files.createTempFile("base", ".yaml");
    Files.writeString(base, BASE);
    try (StubRouter router = StubRouter.respondingWith(200, "{}")) {
      CommandRun check = run(Map.of(), "config", "check", base.toString());
      CommandRun apply = runAt(router, "config apply " + base + " --expected-revision 0");

      assertEquals(check.status(), 1);
      assertTrue(check.err().startsWith(base + ":1: salt: expected "), check.err());
      assertTrue(check.err().lines().count() > 1, check.err());
      assertEquals(apply, check);
      assertEquals(router.lastCall(), Optional.empty());
    }
  }

  @Test
  public void configCheckNeedsNoRouter() {
    CommandRun run =
        run(
            Map.of(),
            "config",
            "check",
            example("carol.yaml").toString(),
            example("carol-kigali.yaml").toString());

    assertEquals(run, new CommandRun(0, "no errors\n", ""));
  }

  @Test
  public void refusalIsOneLineWithCodeDetailAndRemedy() {
    String problem =
        "{\"type\":\"t\",\"title\":\"Merge.\",\"status\":409,\"code\":\"CONFLICT\","
            + "\"verdict\":\"NOT_RUN\",\"detail\":\"revision 18 is in force\","
            + "\"changes\":[\"~ teams[a].weight: 1 -> 2\"]}";
    try (StubRouter router = StubRouter.respondingWith(409, problem)) {
      CommandRun run = runAt(router, "config show");

      String expected =
          "CONFLICT: revision 18 is in force (Merge.)\nchanges\n~ teams[a].weight: 1 -> 2\n";
      assertEquals(run, new CommandRun(1, "", expected));
    }
  }

  @DataProvider
  public static Object[][] foreignAnswers() {
    return new Object[][] {{200, "<html>"}, {502, "<html>"}, {404, "{}"}, {500, ""}};
  }

  @Test(dataProvider = "foreignAnswers")
  public void answerOfAnotherServerIsReported(int status, String body) {
    try (StubRouter router = StubRouter.respondingWith(status, body)) {
      CommandRun run = runAt(router, "status");

      assertEquals(run.status(), 1);
      assertEquals(
          run.err(),
          "ROUTER_UNREACHABLE: "
              + router.uri()
              + " answered with status "
              + status
              + " and is not a router (Check the address, or call another router.)\n");
    }
  }

  @Test
  public void missingRouterIsReported() {
    StubRouter router = StubRouter.respondingWith(200, "{}");
    router.close();

    CommandRun run = runAt(router, "status");

    assertEquals(run.status(), 1);
    assertTrue(
        run.err().startsWith("ROUTER_UNREACHABLE: " + router.uri() + " can't be reached"),
        run.err());
    assertEquals(run.err().lines().count(), 1);
  }

  @Test
  public void rawAnswerIsPrintedOnDemand() throws IOException {
    String answer = "{\"nodes\":[{\"name\":\"a\",\"extra\":[1,2]}]}";
    try (StubRouter router = StubRouter.respondingWith(200, answer)) {
      CommandRun run = runAt(router, "status --json");

      ObjectMapper mapper = new ObjectMapper();
      assertEquals(mapper.readTree(run.out()), mapper.readTree(answer));
    }
  }

  @Test
  public void keyFileWinsOverTheVariable() throws IOException {
    Path file = Files.createTempFile("operator", ".key");
    Files.writeString(file, "other\n");
    try (StubRouter router = StubRouter.respondingWith(200, "{}")) {
      runAt(router, "status --key-file " + file);

      assertEquals(router.lastCall().orElseThrow().authorization(), Optional.of("Bearer other"));
    }
  }

  @DataProvider
  public static Object[][] wrongUses() {
    return new Object[][] {
      {"status now", "argument: found \"now\", expected no further argument"},
      {"explain", "REQUEST: found nothing, expected a value"},
      {"domain leave", "NAME: found nothing, expected a value"},
      {"domain close north", "action: found \"close\", expected leave or return"},
      {"addresses --domain", "--domain: found no value, expected a value after the flag"},
      {"config", "action: found nothing, expected one of check, diff, apply, show"},
      {"config put a", "action: found \"put\", expected one of check, diff, apply, show"},
      {"config diff", "BASE: found nothing, expected the base file"},
      {"config show a", "argument: found \"a\", expected none"},
      {"config apply a", "--expected-revision: found nothing, expected a whole number from 0 up"},
      {
        "config apply a --expected-revision -1",
        "--expected-revision: found \"-1\", expected a whole number from 0 up"
      },
      {"status --routr x", "--routr: found an unknown flag, expected a flag that --help lists"},
      {"status --key-file /no/key", "--key-file: found \"/no/key\", expected a readable file with"},
      {"key", "hash: found nothing, expected a value"},
      {"key make", "action: found \"make\", expected hash"},
      {"key hash --salt 0x", "--salt: found \"0x\", expected 16 to 64 hexadecimal digits"},
    };
  }

  @Test(dataProvider = "wrongUses")
  public void wrongUseIsRefusedBeforeAnyCall(String words, String message) {
    CommandRun run = run(KEY, words.split(" "));

    assertEquals(run.status(), 2);
    assertEquals(run.out(), "");
    assertTrue(run.err().startsWith("INVALID_SETTING " + message), run.err());
    assertEquals(run.err().lines().count(), 1, run.err());
  }

  @DataProvider
  public static Object[][] wrongEnvironments() {
    return new Object[][] {
      {Map.of(), "--key-file: found nothing, expected a file with an operator key"},
      {
        Map.of("DANDELIONBEAM_OPERATOR_KEY", "secret secret"),
        "DANDELIONBEAM_OPERATOR_KEY: found an invalid value (hidden), expected a key of visible"
      },
      {
        Map.of("DANDELIONBEAM_OPERATOR_KEY", "k", "DANDELIONBEAM_ROUTER", "x:1"),
        "DANDELIONBEAM_ROUTER: found \"x:1\", expected a URI such as"
      },
      {
        Map.of("DANDELIONBEAM_OPERATOR_KEY", "k", "DANDELIONBEAM_ROUTER", "http://a:secret@b"),
        "DANDELIONBEAM_ROUTER: found \"http://(hidden)@b\", expected a URI such as"
      },
    };
  }

  @Test(dataProvider = "wrongEnvironments")
  public void wrongVariableIsNamedWithoutSecrets(Map<String, String> environment, String message) {
    CommandRun run = run(environment, "status");

    assertEquals(run.status(), 2);
    assertTrue(run.err().startsWith("INVALID_SETTING " + message), run.err());
    assertTrue(!run.err().contains("secret"), run.err());
  }
}
