package org.dandelionbeam.daemon.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.dandelionbeam.config.ConfigReader;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.InternTable;
import org.dandelionbeam.config.Upstream;
import org.dandelionbeam.config.wiring.ConfigFiles;

/** An example configuration in the program's resources, with the keys of its teams. */
public enum Site {
  /** Three failure domains, four engines and one ledger. */
  DEMO("demo", "demo-site"),
  /** The camp registration of the Majlis. */
  MAJLIS("majlis", "majlis-seri-teratai"),
  /** The ticket sale of the Carol Office. */
  CAROL("carol", "carol-kigali");

  private final String baseName;
  private final String overlayName;

  Site(String base, String overlay) {
    this.baseName = base;
    this.overlayName = overlay;
  }

  /**
   * Finds a site.
   *
   * @param name its name in any case
   * @return the site
   * @throws IllegalArgumentException if there is none of that name
   */
  public static Site of(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT));
  }

  /**
   * Returns the contents of its base file and its overlay.
   *
   * @return the base, then the overlay
   */
  public List<ConfigFiles.Text> texts() {
    return List.of(resource(baseName), resource(overlayName));
  }

  /**
   * Reads its configuration.
   *
   * @return the configuration, with the upstream addresses that the files give
   */
  public Configuration configuration() {
    return readConfiguration(texts());
  }

  /**
   * Returns the bearer key of a team of this site.
   *
   * @param team name of the team
   * @return the key
   */
  public String teamKey(String team) {
    return baseName + "-" + team;
  }

  /**
   * Returns the operator key of this site.
   *
   * @return the key
   */
  public String operatorKey() {
    return baseName + "-operator";
  }

  static Configuration readConfiguration(List<ConfigFiles.Text> texts) {
    ConfigFiles.Loaded loaded = ConfigFiles.parse(texts);
    if (!loaded.problems().isEmpty()) {
      throw new IllegalStateException(
          "the configuration of the site has errors: " + loaded.problems());
    }
    ConfigReader.Result result = ConfigReader.read(loaded.tree(), InternTable.empty(), 0);
    return ((ConfigReader.Result.Accepted) result).configuration();
  }

  /**
   * Returns an overlay that sets the addresses of upstreams to those of their stand-ins.
   *
   * @param upstreams upstreams to include
   * @param standIns their stand-ins
   * @return the overlay
   */
  public static ConfigFiles.Text addressOverlay(List<Upstream> upstreams, StandIns standIns) {
    List<String> lines = new ArrayList<>();
    lines.add("upstreams:");
    for (Upstream upstream : upstreams) {
      lines.add(
          "  - {name: %s, host: 127.0.0.1, port: %d}"
              .formatted(upstream.name(), standIns.port(upstream.name())));
    }
    return new ConfigFiles.Text("stand-ins", String.join("\n", lines) + "\n");
  }

  private static ConfigFiles.Text resource(String name) {
    String path = "/examples/" + name + ".yaml";
    try (InputStream in = Site.class.getResourceAsStream(path)) {
      if (in == null) {
        throw new IllegalStateException("the class path has no resource " + path);
      }
      return new ConfigFiles.Text(
          name + ".yaml", new String(in.readAllBytes(), StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
