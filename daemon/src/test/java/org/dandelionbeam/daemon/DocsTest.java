package org.dandelionbeam.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.Verdict;
import org.dandelionbeam.daemon.cli.ClientFlags;
import org.testng.annotations.Test;

public class DocsTest {
  private static final Path ROOT = Path.of("..");
  private static final int INVARIANTS = 10;
  private static final Pattern VARIABLE = Pattern.compile("DANDELIONBEAM_[A-Z_]+[A-Z]");
  private static final Pattern LINK = Pattern.compile("\\]\\((?!http|#)([^)#]+)");

  private static String page(String name) throws IOException {
    return Files.readString(ROOT.resolve(name));
  }

  /** Returns the cells of the table rows whose first cell is code that matches a pattern. */
  private static List<List<String>> rows(String page, String firstCellPattern) {
    return page.lines()
        .filter(line -> line.matches("\\| `" + firstCellPattern + "` \\|.*"))
        .map(line -> List.of(line.substring(2, line.length() - 2).split(" \\| ", -1)))
        .toList();
  }

  @Test
  public void errorsPageListsEveryCodeWithStatusAndRemedy() throws IOException {
    List<List<String>> rows =
        rows(page("docs/ERRORS.md"), "[A-Z_]+").stream().filter(row -> row.size() == 5).toList();

    List<List<String>> expected =
        Arrays.stream(ErrorCode.values())
            .map(c -> List.of("`" + c + "`", Integer.toString(c.httpStatus()), c.remedy()))
            .toList();
    assertEquals(rows.stream().map(r -> List.of(r.get(0), r.get(1), r.get(4))).toList(), expected);
  }

  @Test
  public void errorsPageNamesVerdictsThatExist() throws IOException {
    Set<String> verdicts =
        Arrays.stream(Verdict.values()).map(Verdict::name).collect(Collectors.toSet());
    String page = page("docs/ERRORS.md");

    assertEquals(
        rows(page, "[A-Z_]+").stream()
            .filter(row -> row.size() == 3)
            .map(row -> row.get(0).replace("`", ""))
            .collect(Collectors.toSet()),
        verdicts);
    rows(page, "[A-Z_]+").stream()
        .filter(row -> row.size() == 5 && !row.get(2).equals("-"))
        .forEach(
            row -> assertTrue(verdicts.containsAll(List.of(row.get(2).split(", "))), row + ""));
  }

  @Test
  public void settingsReferenceListsEveryFlagOfARouter() throws IOException {
    List<List<String>> rows = rows(page("docs/OPERATIONS.md"), "--[a-z-]+ [A-Z:]+");

    List<List<String>> expected =
        RouterFlags.ALL.stream()
            .map(
                flag ->
                    List.of(
                        "`" + flag.dashedName() + " " + flag.argumentName() + "`",
                        "`" + flag.variable().orElseThrow() + "`",
                        flag.defaultValue().map(value -> "`" + value + "`").orElse("-")))
            .toList();
    assertEquals(rows.stream().map(row -> row.subList(0, 3)).toList(), expected);
  }

  @Test
  public void settingsReferenceNamesEveryVariableAndNoOther() throws IOException {
    Set<String> known = new TreeSet<>(ClientFlags.VARIABLES);
    RouterFlags.ALL.forEach(flag -> known.add(flag.variable().orElseThrow()));
    known.add(RouterSettingsReader.FLEET_KEY);

    Set<String> named =
        VARIABLE
            .matcher(page("docs/OPERATIONS.md"))
            .results()
            .map(found -> found.group())
            .collect(Collectors.toCollection(TreeSet::new));

    assertEquals(named, known);
  }

  @Test
  public void invariantsNameClassesAndTestsThatExist() throws IOException {
    List<List<String>> rows =
        page("docs/DESIGN.md")
            .lines()
            .filter(line -> line.startsWith("| ") && line.contains("Test."))
            .map(line -> List.of(line.substring(2, line.length() - 2).split(" \\| ", -1)))
            .toList();
    assertTrue(rows.size() >= INVARIANTS, rows.size() + " invariants");
    for (List<String> row : rows) {
      for (String name : row.get(1).replace("`", "").split(", ")) {
        source("main", name);
      }
      for (String name : row.get(2).replace("`", "").split(", ")) {
        String[] parts = name.split("\\.");
        String test = source("test", parts[0]);
        assertTrue(test.contains("public void " + parts[1] + "("), name);
      }
    }
  }

  private static String source(String tree, String name) throws IOException {
    Path file = Path.of(name + ".java");
    try (Stream<Path> files = Files.walk(ROOT)) {
      Path found =
          files
              .filter(path -> path.endsWith(file) && path.toString().contains("src/" + tree + "/"))
              .findFirst()
              .orElseThrow(() -> new AssertionError("no " + tree + " class " + name));
      return Files.readString(found);
    }
  }

  @Test
  public void linksBetweenPagesLeadToFiles() throws IOException {
    try (Stream<Path> docs = Files.list(ROOT.resolve("docs"))) {
      List<Path> pages =
          Stream.concat(
                  docs.filter(path -> path.toString().endsWith(".md")),
                  Stream.of(ROOT.resolve("README.md"), ROOT.resolve("CONTRIBUTING.md")))
              .toList();
      assertFalse(pages.isEmpty());
      for (Path page : pages) {
        LINK.matcher(Files.readString(page))
            .results()
            .map(found -> page.resolveSibling(found.group(1)))
            .forEach(target -> assertTrue(Files.exists(target), page + " links to " + target));
      }
    }
  }
}
