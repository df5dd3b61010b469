package org.dandelionbeam.routing;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/**
 * The library must depend neither on the platform adapter nor on names of the platform's
 * interfaces.
 */
public class PlatformIndependenceTest {
  private static final Path SOURCES = Path.of("src/main/java/org/dandelionbeam");
  private static final Pattern PLATFORM_NAMES =
      Pattern.compile(
          "org\\.dandelionbeam\\.platform|Attempt-Id|Deadline-Ms|Not-Run|Engine-Seal"
              + "|Expect-Instance|Prompt-Prefix|Token-Counts|Kv-From|\\bop/|\\bservers/|/-/"
              + "|(?i)\\btenants?\\b");

  @Test
  public void librarySourcesContainNoPlatformNames() throws IOException {
    List<String> found = new ArrayList<>();
    try (Stream<Path> files = Files.walk(SOURCES)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
        PLATFORM_NAMES
            .matcher(Files.readString(file))
            .results()
            .forEach(match -> found.add(file.getFileName() + ": " + match.group()));
      }
    }

    assertEquals(found, List.of());
  }
}
