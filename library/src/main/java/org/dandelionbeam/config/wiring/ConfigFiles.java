package org.dandelionbeam.config.wiring;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.dandelionbeam.config.ConfigMerge;
import org.dandelionbeam.config.ConfigNode;
import org.dandelionbeam.config.ConfigNode.MapNode;
import org.dandelionbeam.config.ConfigNode.Source;
import org.dandelionbeam.config.ConfigProblem;
import org.dandelionbeam.config.ConfigReader;
import org.dandelionbeam.config.ConfigReader.Result;
import org.dandelionbeam.config.InternTable;

/**
 * Reads a base file and its overlays, such as those of sites, merges them and validates the result.
 */
public final class ConfigFiles {
  private static final YAMLFactory YAML = new YAMLFactory();

  private final List<ConfigProblem> problems = new ArrayList<>();

  private ConfigFiles() {}

  /**
   * Reads, merges and validates files.
   *
   * @param base the base file
   * @param overlays overlays in the order in which they are merged
   * @return the merged tree with all errors of syntax, merging and validation
   */
  public static Loaded load(Path base, List<Path> overlays) {
    List<Text> texts = new ArrayList<>();
    ConfigFiles files = new ConfigFiles();
    files.readFile(base, texts);
    overlays.forEach(overlay -> files.readFile(overlay, texts));
    return files.merge(texts);
  }

  /**
   * Merges and validates the texts of files.
   *
   * @param texts text of the base, then those of the overlays in the order in which they are merged
   * @return the merged tree with all errors of syntax, merging and validation
   */
  public static Loaded parse(List<Text> texts) {
    return new ConfigFiles().merge(texts);
  }

  private Loaded merge(List<Text> texts) {
    ConfigNode merged = null;
    for (Text text : texts) {
      ConfigNode tree = parseTree(text);
      merged = merged == null ? tree : ConfigMerge.merge(merged, tree, problems);
    }
    if (!problems.isEmpty() || merged == null) {
      return new Loaded(emptyTree(), problems);
    }
    Result result = ConfigReader.read(merged, InternTable.empty(), 0);
    if (result instanceof Result.Refused refused) {
      problems.addAll(refused.problems());
    }
    return new Loaded(merged, problems);
  }

  private ConfigNode parseTree(Text text) {
    try (JsonParser tokens = YAML.createParser(new StringReader(text.content()))) {
      return new TreeParser(tokens, line -> new Source(text.file(), line), problems).parse();
    } catch (JsonProcessingException e) {
      JsonLocation location = e.getLocation();
      int line = location == null ? 0 : location.getLineNr();
      String found = e.getOriginalMessage().lines().findFirst().orElse("a syntax error");
      problems.add(new ConfigProblem(text.file(), line, "", "well-formed YAML", found));
    } catch (IOException e) {
      problems.add(new ConfigProblem(text.file(), 0, "", "well-formed YAML", e.getMessage()));
    }
    return emptyTree();
  }

  private void readFile(Path path, List<Text> texts) {
    try {
      texts.add(new Text(path.toString(), Files.readString(path, StandardCharsets.UTF_8)));
    } catch (IOException e) {
      problems.add(
          new ConfigProblem(path.toString(), 0, "", "a readable file in UTF-8", e.toString()));
    }
  }

  private static ConfigNode emptyTree() {
    return new MapNode(Source.STORED, Map.of());
  }

  /**
   * Name and text of a file.
   *
   * @param file name of the file
   * @param content text of the file
   */
  public record Text(String file, String content) {}

  /**
   * Result of merging files.
   *
   * @param tree merged configuration tree; empty if there are errors of syntax or merging
   * @param problems all errors; empty if the configuration can be applied
   */
  public record Loaded(ConfigNode tree, List<ConfigProblem> problems) {

    /** Copies the list. */
    public Loaded {
      problems = List.copyOf(problems);
    }
  }
}
