package org.dandelionbeam.config.wiring;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.dandelionbeam.config.ConfigProblem;
import org.dandelionbeam.config.wiring.ConfigFiles.Loaded;
import org.dandelionbeam.config.wiring.ConfigFiles.Text;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ConfigFilesTest {
  static final String BASE =
      """
      salt: "0011223344556677"
      operatorKeys: ["%s"]
      regions:
        - name: north
      domains:
        - {name: a, region: north}
      models:
        - name: small
      services:
        - name: chat
          type: MODEL
          costUnit: TOKENS
          kinds:
            - {name: chat, method: POST, path: /v1/chat/completions, idempotent: true}
        - name: ledger
          type: PLAIN
          costUnit: CALLS
          kinds:
            - {name: book, method: POST, path: /bookings, idempotent: false}
      upstreams:
        - {name: e1, service: chat, domain: a, host: 127.0.0.1, port: 9001, models: [small], window: 8, coldLimit: 3}
        - {name: l1, service: ledger, domain: a, host: 127.0.0.1, port: 9002, window: 9, coldLimit: 2}
      teams:
        - {name: red, weight: 2, keys: ["%s"]}
        - {name: blue}
      """
          .formatted("a".repeat(64), "b".repeat(64));

  /** Valid text | invalid replacement | line | path | expected | found. */
  private static final String ERRORS =
      """
      weight: 2 | weight: 0 | 24 | teams[red].weight | a number above 0.0 and at most 1000000.0 | 0
      weight: 2 | weight: .nan | 24 | teams[red].weight | a number above 0.0 and at most 1000000.0 | .nan
      weight: 2 | wieght: 2 | 24 | teams[red].wieght | one of [keys, maxOpen, maxQueued, name, weight] | unknown key
      {name: blue} | {name: red} | 25 | teams[red] | a unique name | the name on line 24 repeated
      {name: blue} | {weight: 1} | 25 | teams[1].name | a name of 1 to 63 characters a-z 0-9 . _ - that starts with a letter or digit | nothing
      {name: blue} | blue | 25 | teams[1] | a map | 'blue'
      BBBB | AAAA | 24 | teams[red].keys | keys that are not listed elsewhere | a key also listed for operators
      BBBB | secret | 24 | teams[red].keys | a salted key hash of 64 lowercase hexadecimal digits | 'secret'
      service: chat | service: talk | 21 | upstreams[e1].service | one of [chat, ledger] | 'talk'
      models: [small] | models: [big] | 21 | upstreams[e1].models | one of [small] | 'big'
      models: [small] | models: [] | 21 | upstreams[e1].models | at least one model for an upstream of a MODEL service | none
      window: 9 | window: 9, models: [small] | 22 | upstreams[l1].models | no models for an upstream of a PLAIN service | some
      host: 127.0.0.1, port: 9001 | host: engine, port: 9001 | 21 | upstreams[e1].host | an IP address | 'engine'
      host: 127.0.0.1, port: 9001 | host: 300.0.0.1, port: 9001 | 21 | upstreams[e1].host | an IP address | '300.0.0.1'
      port: 9001 | port: 99999 | 21 | upstreams[e1].port | a whole number from 1 to 65535 | 99999
      port: 9001 | port: 9002 | 22 | upstreams[l1].port | a host and port that no other upstream has | 127.0.0.1 port 9002, the same as upstream e1
      coldLimit: 3 | coldLimit: 9 | 21 | upstreams[e1].coldLimit | a whole number from 1 to 8 | 9
      region: north | region: south | 6 | domains[a].region | one of [north] | 'south'
      idempotent: false | idempotent: no way | 19 | services[ledger].kinds[book].idempotent | true or false | 'no way'
      path: /bookings | path: bookings | 19 | services[ledger].kinds[book].path | a path such as /seats/* or /any/** | 'bookings'
      type: PLAIN | type: PLANE | 16 | services[ledger].type | one of [MODEL, PLAIN] | 'PLANE'
      "0011223344556677" | 11 | 1 | salt | a quoted salt of 8 to 32 bytes in lowercase hexadecimal digits | 11
      salt: | salt: "00"\\nsalt: | 2 | salt | each key once | the key on line 1 repeated
      salt: | limits: {readTimeout: soon}\\nsalt: | 1 | limits.readTimeout | a duration such as '500 ms', '10 s' or '2 min' | 'soon'
      salt: | limits: {maxOpenPerConnection: 0}\\nsalt: | 1 | limits.maxOpenPerConnection | a whole number from 1 to 1024 | 0
      """;

  @DataProvider
  public Object[][] errors() {
    return ERRORS
        .replace("AAAA", "a".repeat(64))
        .replace("BBBB", "b".repeat(64))
        .lines()
        .map(row -> (Object[]) row.replace("\\n", "\n").split(" \\| "))
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "errors")
  public void invalidPartIsReportedWithFileLinePathAndWhatWasExpected(
      String valid, String invalid, String line, String path, String expected, String found) {
    String text = BASE.replace(valid, invalid);
    Loaded loaded = ConfigFiles.parse(List.of(new Text("base.yaml", text)));
    ConfigProblem problem =
        new ConfigProblem("base.yaml", Integer.parseInt(line), path, expected, found);
    assertEquals(loaded.problems(), List.of(problem));
  }

  @Test
  public void validFileHasNoProblems() {
    assertEquals(load(BASE).problems(), List.of());
    String overIpv6 = BASE.replace("127.0.0.1, port: 9002", "\"::1\", port: 9002");
    assertEquals(load(overIpv6).problems(), List.of());
  }

  @Test
  public void allErrorsAreReportedAtOnce() {
    String text = BASE.replace("weight: 2", "weight: -1").replace("port: 9001", "port: 0");
    List<String> paths = load(text).problems().stream().map(ConfigProblem::path).toList();
    assertEquals(paths, List.of("upstreams[e1].port", "teams[red].weight"));
  }

  @DataProvider
  public Object[][] malformed() {
    return new Object[][] {
      {"a: [1, 2"},
      {"a: &x 1\nb: *x"},
      {"a: 1\n---\nb: 2"},
      {"\tsalt: x"},
      {"- 1"},
      {"just text"},
      {""},
      {"a: ".repeat(3)},
      {"[".repeat(100)}
    };
  }

  @Test(dataProvider = "malformed")
  public void malformedFileIsReportedWithProblemsInsteadOfExceptions(String text) {
    assertTrue(!load(text).problems().isEmpty());
  }

  @Test
  public void missingFileIsReportedAsAProblem() {
    Loaded loaded = ConfigFiles.load(Path.of("no-such.yaml"), List.of());
    assertEquals(loaded.problems().get(0).file(), "no-such.yaml");
  }

  @Test
  public void overlayMergesByNameAndRemoves() {
    String overlay =
        """
        limits: {readTimeout: 5 s}
        teams:
          - {name: blue, remove: true}
          - {name: red, weight: 7, keys: null}
          - {name: green}
        """;
    Loaded loaded =
        ConfigFiles.parse(List.of(new Text("base.yaml", BASE), new Text("site.yaml", overlay)));
    assertEquals(loaded.problems(), List.of());
    String merged = loaded.tree().toString();
    assertTrue(merged.contains("text=green") && !merged.contains("text=blue"), merged);
  }

  @DataProvider
  public Object[][] overlayErrors() {
    return new Object[][] {
      {"teams:\n  - {name: grey, remove: true}", 2, "teams[grey]"},
      {"limits: null", 1, "limits"},
      {"teams:\n  - {name: red, weight: x}", 2, "teams[red].weight"},
      {"teams:\n  - {name: red}\n  - {name: red}", 3, "teams[red]"},
      {"teams: 5", 1, "teams"},
    };
  }

  @Test(dataProvider = "overlayErrors")
  public void errorOfAnOverlayNamesTheOverlay(String overlay, int line, String path) {
    Loaded loaded =
        ConfigFiles.parse(List.of(new Text("base.yaml", BASE), new Text("site.yaml", overlay)));
    ConfigProblem problem = loaded.problems().get(0);
    assertEquals(
        List.of(problem.file(), problem.line(), problem.path()), List.of("site.yaml", line, path));
  }

  private static Loaded load(String text) {
    return ConfigFiles.parse(List.of(new Text("base.yaml", text)));
  }
}
