package org.dandelionbeam.config.wiring;

import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.fail;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import org.dandelionbeam.config.wiring.ConfigFiles.Text;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Parses randomly mutated example files, none of which may cause an exception; {@code
 * -Dfuzz.inputs=N} sets the number of inputs per pair of files.
 */
public class ConfigFilesFuzzTest {
  private static final Path EXAMPLES = Path.of("../daemon/src/main/resources/examples");
  private static final int INPUTS = Integer.getInteger("fuzz.inputs", 400);
  private static final long MAX_MILLIS = 600_000;
  private static final int MAX_MUTATIONS = 4;
  private static final List<String> TOKENS =
      List.of(
          "\n",
          "  ",
          "- ",
          ": ",
          "{",
          "}",
          "[",
          "]",
          "\"",
          "'",
          "#",
          "&a ",
          "*a",
          "!!int ",
          "!x ",
          "|",
          ">",
          "%",
          "@",
          "\t",
          "\u0000",
          "\ud800",
          "~",
          "---\n",
          "null",
          "-1",
          "1e999",
          "0x7fffffffffffffff",
          "99999999999999999999",
          ".nan",
          "<<: ",
          "? ",
          "...\n");

  @DataProvider
  Object[][] files() {
    return new Object[][] {
      {List.of("demo.yaml", "demo-site.yaml")},
      {List.of("majlis.yaml", "majlis-seri-teratai.yaml")},
      {List.of("carol.yaml", "carol-kigali.yaml")},
    };
  }

  @Test(dataProvider = "files", timeOut = MAX_MILLIS)
  public void parseOfMutatedFilesReportsProblemsAndNeverThrows(List<String> names)
      throws IOException {
    List<Text> texts = List.of(text(names.get(0)), text(names.get(1)));
    SplittableRandom random = new SplittableRandom(names.hashCode());
    for (int input = 0; input < INPUTS; input++) {
      int changed = random.nextInt(texts.size());
      Text mutated =
          new Text(texts.get(changed).file(), mutate(texts.get(changed).content(), random));
      parse(changed == 0 ? List.of(mutated, texts.get(1)) : List.of(texts.get(0), mutated), input);
    }
  }

  private static Text text(String name) throws IOException {
    return new Text(name, Files.readString(EXAMPLES.resolve(name)));
  }

  private static void parse(List<Text> texts, int input) {
    try {
      assertNotNull(ConfigFiles.parse(texts).problems());
    } catch (RuntimeException | StackOverflowError | OutOfMemoryError thrown) {
      fail("input %d: %s".formatted(input, texts), thrown);
    }
  }

  private static String mutate(String valid, SplittableRandom random) {
    StringBuilder text = new StringBuilder(valid);
    int mutations = 1 + random.nextInt(MAX_MUTATIONS);
    for (int i = 0; i < mutations && text.length() > 0; i++) {
      int at = random.nextInt(text.length());
      int end = Math.min(text.length(), at + 1 + random.nextInt(40));
      switch (random.nextInt(5)) {
        case 0 -> text.setCharAt(at, (char) (1 + random.nextInt(0x7f)));
        case 1 -> text.delete(at, end);
        case 2 -> text.insert(random.nextInt(text.length()), text.substring(at, end));
        case 3 -> text.replace(at, end, randomTokens(random));
        default -> text.insert(at, randomTokens(random));
      }
    }
    return text.toString();
  }

  private static String randomTokens(SplittableRandom random) {
    return TOKENS.get(random.nextInt(TOKENS.size())).repeat(1 + random.nextInt(3));
  }
}
