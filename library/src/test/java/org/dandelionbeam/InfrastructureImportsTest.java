package org.dandelionbeam;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/**
 * Guards against logic that depends on I/O libraries: only the packages {@code wiring} and {@code
 * runtime} may import network, serialization and metrics libraries, so that all other code can be
 * tested without them.
 */
public class InfrastructureImportsTest {
  private static final Path SOURCES = Path.of("src/main/java/org/dandelionbeam");
  private static final List<String> INFRASTRUCTURE_LIBRARIES =
      List.of(
          "io.netty", "com.fasterxml", "org.msgpack", "io.micrometer", "java.net", "org.jctools");

  @Test
  public void onlyWiringAndRuntimePackagesImportInfrastructure() throws IOException {
    try (Stream<Path> files = Files.walk(SOURCES)) {
      List<String> violations =
          files
              .filter(file -> file.toString().endsWith(".java"))
              .filter(file -> !isWiringOrRuntime(file))
              .filter(InfrastructureImportsTest::importsInfrastructure)
              .map(Path::toString)
              .toList();
      assertEquals(violations, List.of());
    }
  }

  private static boolean isWiringOrRuntime(Path file) {
    String packagePath = file.getParent().toString();
    return packagePath.endsWith("wiring") || packagePath.endsWith("runtime");
  }

  private static boolean importsInfrastructure(Path file) {
    try (Stream<String> lines = Files.lines(file)) {
      return lines.anyMatch(
          line ->
              INFRASTRUCTURE_LIBRARIES.stream()
                  .anyMatch(library -> line.startsWith("import " + library)));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
