package org.dandelionbeam.config.wiring;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.dandelionbeam.config.ConfigDiff;
import org.dandelionbeam.config.ConfigDocument;
import org.dandelionbeam.config.ConfigReader;
import org.dandelionbeam.config.ConfigReader.Result;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.InternTable;
import org.dandelionbeam.config.InternTable.Namespace;
import org.dandelionbeam.config.wiring.ConfigFiles.Text;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class JsonConfigCodecTest {
  private final JsonConfigCodec codec = new JsonConfigCodec();

  @Test
  public void decodeReturnsTheConfigurationOfTheFile() {
    byte[] stored = codec.encode(document(ConfigFilesTest.BASE, InternTable.empty()));
    Configuration configuration = accepted(codec.decode(stored, 7));
    assertEquals(configuration.revision(), 7);
    assertEquals(configuration.teams().size(), 2);
    assertEquals(configuration.upstreams().get(0).window(), 8);
    assertEquals(configuration.serviceNamed("ledger").orElseThrow().kinds().get(0).name(), "book");
  }

  @Test
  public void namesKeepTheirNumbersAndNumbersAreNeverReused() {
    Random random = new Random(11);
    Map<String, Integer> last = Map.of();
    Map<Integer, String> nameByNumber = new HashMap<>();
    InternTable table = InternTable.empty();
    for (int revision = 1; revision <= 200; revision++) {
      List<String> names = new ArrayList<>();
      random.ints(1 + random.nextInt(8), 0, 20).forEach(i -> names.add("team-" + i));
      ConfigDocument document = document(withTeams(names), table);
      table = codec.document(codec.encode(document)).table();
      Map<String, Integer> current = new TreeMap<>(table.numbers(Namespace.TEAMS));
      for (Map.Entry<String, Integer> entry : current.entrySet()) {
        int kept = last.getOrDefault(entry.getKey(), entry.getValue());
        assertEquals((int) entry.getValue(), kept);
        boolean isNew = !last.containsKey(entry.getKey());
        assertTrue(!isNew || !nameByNumber.containsKey(entry.getValue()), "reused " + entry);
        nameByNumber.put(entry.getValue(), entry.getKey());
      }
      last = current;
    }
  }

  @Test
  public void orderOfTheFileMakesNoDifference() {
    List<String> names = new ArrayList<>(List.of("x", "y", "z"));
    byte[] one = codec.encode(document(withTeams(names), InternTable.empty()));
    Collections.reverse(names);
    ConfigDocument reversed = document(withTeams(names), codec.document(one).table());
    assertEquals(codec.encode(reversed), one);
  }

  @Test
  public void patchWithADeltaReturnsTheNewerBytes() {
    Random random = new Random(5);
    byte[] older = codec.encode(document(withTeams(List.of("x")), InternTable.empty()));
    for (int step = 0; step < 100; step++) {
      List<String> names = new ArrayList<>();
      random.ints(40, 0, 60).distinct().forEach(i -> names.add("t" + i));
      ConfigDocument next = document(withTeams(names), codec.document(older).table());
      byte[] newer = codec.encode(next);
      byte[] from = older;
      codec
          .delta(from, newer)
          .ifPresent(delta -> assertEquals(codec.patch(from, delta).orElseThrow(), newer));
      older = newer;
    }
  }

  @Test
  public void deltaOfOneChangedWeightIsSmallAndDoesNotApplyToOtherBytes() {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < 500; i++) {
      names.add("t" + i);
    }
    ConfigDocument first = document(withTeams(names), InternTable.empty());
    String changed = withTeams(names).replace("t7, weight: 1", "t7, weight: 9");
    byte[] older = codec.encode(first);
    byte[] newer = codec.encode(document(changed, first.table()));
    byte[] delta = codec.delta(older, newer).orElseThrow();
    assertTrue(delta.length < 300, "delta bytes " + delta.length);
    assertEquals(codec.patch(older, delta).orElseThrow(), newer);
    byte[] other = codec.encode(document(withTeams(names.subList(0, 499)), first.table()));
    assertTrue(codec.patch(other, delta).isEmpty());
    assertEquals(
        ConfigDiff.lines(first.tree(), codec.document(newer).tree()),
        List.of("~ teams[t7].weight: 1 -> 9"));
  }

  @DataProvider
  public Object[][] malformed() {
    return new Object[][] {
      {""},
      {"{"},
      {"[]"},
      {"{}"},
      {"{\"format\":2}"},
      {"\u001f\u008b"},
      {"\u001f broken"},
      {"{\"format\":1,\"numbers\":{},\"next\":{},\"configuration\":{}}"}
    };
  }

  @Test(dataProvider = "malformed")
  public void malformedStoredBytesAreRefused(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    assertTrue(codec.decode(bytes, 1) instanceof Result.Refused);
    assertTrue(codec.patch(bytes, bytes).isEmpty());
  }

  @Test
  public void storedNumbersThatDoNotCoverTheNamesAreRefused() {
    ConfigDocument document = document(ConfigFilesTest.BASE, InternTable.empty());
    InternTable other = document.table().assign(Namespace.TEAMS, List.of("red"));
    byte[] bytes = codec.encode(ConfigDocument.of(document.tree(), other));
    assertTrue(codec.decode(bytes, 1) instanceof Result.Refused);
    assertFalse(codec.decode(codec.encode(document), 1) instanceof Result.Refused);
    assertNotEquals(bytes, codec.encode(document));
  }

  static ConfigDocument document(String text, InternTable table) {
    ConfigFiles.Loaded loaded = ConfigFiles.parse(List.of(new Text("base.yaml", text)));
    assertEquals(loaded.problems(), List.of());
    Result result = ConfigReader.read(loaded.tree(), table, 0);
    return ConfigDocument.of(loaded.tree(), ((Result.Accepted) result).table());
  }

  static String withTeams(List<String> names) {
    StringBuilder text = new StringBuilder();
    text.append(ConfigFilesTest.BASE, 0, ConfigFilesTest.BASE.indexOf("teams:"));
    text.append("teams:\n");
    names.stream().distinct().forEach(name -> text.append("  - {name: " + name + ", weight: 1}\n"));
    return text.toString();
  }

  private static Configuration accepted(Result result) {
    return ((Result.Accepted) result).configuration();
  }
}
