package org.dandelionbeam.peer.wiring;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.dandelionbeam.base.NodeId;
import org.dandelionbeam.peer.PeerMessage;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Compares the documentation of the peer protocol with the compiled message classes. Guards against
 * a message, field or size that changes without its documentation.
 */
public class ProtocolPageTest {
  private static final Path PAGE = Path.of("../docs/PROTOCOL.md");
  private static final String PACKAGE = "org.dandelionbeam.";

  /** Lines of each section of the page, by the title of the section. */
  private final Map<String, List<String>> sections = new TreeMap<>();

  @BeforeClass
  public void readPage() throws IOException {
    List<String> section = new ArrayList<>();
    for (String line : Files.readAllLines(PAGE)) {
      if (line.startsWith("#")) {
        section = new ArrayList<>();
        assertEquals(sections.put(line.replaceFirst("#+ ", ""), section), null, line);
      }
      section.add(line);
    }
  }

  @Test
  public void everyMessageClassHasATypicalMessage() throws Exception {
    assertEquals(typicalClasses(), messageClasses());
  }

  @Test
  public void pageListsEveryMessageByNumberAndNameAndNoOther() throws Exception {
    Set<String> expected =
        TypicalMessages.byType().entrySet().stream()
            .map(typed -> typed.getKey() + " " + typed.getValue().getClass().getSimpleName())
            .collect(Collectors.toSet());
    Set<String> found =
        sections.keySet().stream()
            .filter(title -> title.matches("\\d+ .*"))
            .collect(Collectors.toSet());
    assertEquals(found, expected);
  }

  @Test
  public void pageListsTheFieldsOfEveryMessageAndPartInOrder() throws Exception {
    Set<Class<?>> records = new LinkedHashSet<>();
    messageClasses().forEach(message -> collect(message, records));
    for (Class<?> record : records) {
      List<String> fields =
          Arrays.stream(record.getRecordComponents()).map(RecordComponent::getName).toList();
      assertEquals(fieldsIn(section(record)), fields, "fields of " + record);
    }
  }

  @Test
  public void pageGivesTheMeasuredSizeOfEachTypicalMessage() {
    PeerCodec codec = TypicalMessages.codec();
    TypicalMessages.byType()
        .forEach(
            (type, message) -> {
              String size = "Typical size: " + codec.encode(message).length + " bytes";
              List<String> lines = section(message.getClass());
              assertTrue(
                  lines.stream().anyMatch(line -> line.startsWith(size)),
                  "type " + type + " lacks: " + size);
            });
  }

  private static Set<Class<?>> typicalClasses() {
    return TypicalMessages.byType().values().stream()
        .map(Object::getClass)
        .collect(Collectors.toSet());
  }

  private List<String> section(Class<?> record) {
    String name = record.getName().substring(record.getPackageName().length() + 1);
    String title = name.replace('$', '.');
    return sections.entrySet().stream()
        .filter(entry -> entry.getKey().replaceFirst("^\\d+ ", "").equals(title))
        .map(Map.Entry::getValue)
        .findFirst()
        .orElseThrow(() -> new AssertionError("no section on " + title));
  }

  private static List<String> fieldsIn(List<String> section) {
    return section.stream()
        .filter(line -> line.matches("\\| `\\w+` \\|.*"))
        .map(line -> line.split("`")[1])
        .toList();
  }

  private static void collect(Type type, Set<Class<?>> records) {
    if (type instanceof ParameterizedType list) {
      Arrays.stream(list.getActualTypeArguments()).forEach(part -> collect(part, records));
    } else if (type instanceof Class<?> found
        && found.isRecord()
        && !found.getPackage().equals(NodeId.class.getPackage())
        && records.add(found)) {
      Arrays.stream(found.getRecordComponents())
          .forEach(component -> collect(component.getGenericType(), records));
    }
  }

  private static Set<Class<?>> messageClasses()
      throws IOException, URISyntaxException, ClassNotFoundException {
    Path root =
        Path.of(PeerMessage.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    Set<Class<?>> found = new HashSet<>();
    for (String name : classNames(root)) {
      Class<?> type = Class.forName(name, false, PeerMessage.class.getClassLoader());
      if (PeerMessage.class.isAssignableFrom(type) && !type.isInterface()) {
        found.add(type);
      }
    }
    assertTrue(found.size() > 1, "no classes found in " + root);
    return found;
  }

  private static List<String> classNames(Path root) throws IOException {
    try (Stream<Path> files = Files.walk(root)) {
      return files
          .map(file -> root.relativize(file).toString().replace('/', '.'))
          .filter(name -> name.startsWith(PACKAGE) && name.endsWith(".class"))
          .map(name -> name.substring(0, name.length() - ".class".length()))
          .filter(name -> !name.endsWith("-info"))
          .toList();
    }
  }
}
