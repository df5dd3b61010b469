package org.dandelionbeam.config;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.base.ModelId;
import org.dandelionbeam.base.ServiceId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.ConfigNode.Scalar;
import org.dandelionbeam.config.ConfigNode.Source;
import org.dandelionbeam.config.InternTable.Namespace;

/** Validates a configuration tree and builds the {@link Configuration} from it. */
public final class ConfigReader {
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
  private static final String NAME_FORM =
      "a name of 1 to 63 characters a-z 0-9 . _ - that starts with a letter or digit";
  private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");
  private static final String KEY_HASH_FORM =
      "a salted key hash of 64 lowercase hexadecimal digits";
  private static final Pattern SALT = Pattern.compile("([0-9a-f]{2}){8,32}");
  private static final String SALT_FORM =
      "a quoted salt of 8 to 32 bytes in lowercase hexadecimal digits";
  private static final Pattern METHOD = Pattern.compile("[A-Z]{1,16}|\\*");
  private static final String METHOD_FORM = "an HTTP method in uppercase, or '*'";
  private static final Pattern PATH = Pattern.compile("(/[^/?#\\s*]*|/\\*(?!\\*))*(/\\*\\*)?");
  private static final String PATH_FORM = "a path such as /seats/* or /any/**";
  private static final String OCTET = "(25[0-5]|2[0-4]\\d|1?\\d?\\d)";
  private static final Pattern HOST =
      Pattern.compile(
          "(" + OCTET + "\\.){3}" + OCTET + "|[0-9a-fA-F]*:[0-9a-fA-F:]*:[0-9a-fA-F.]*");
  private static final String HOST_FORM = "an IP address";
  private static final int MAX_PORT = 65_535;
  private static final int MAX_WINDOW = 100_000;
  private static final int MAX_TEAM_REQUESTS = 1_000_000;
  private static final int DEFAULT_MAX_QUEUED = 256;
  private static final int DEFAULT_MAX_OPEN = 1_024;
  private static final double MAX_WEIGHT = 1e6;
  private static final int KIB = 1 << 10;
  private static final int MAX_BODY_BYTES = 64 * KIB * KIB;
  private static final int MAX_HEADER_BYTES = 256 * KIB;

  private final List<ConfigProblem> problems = new ArrayList<>();
  private final Map<String, String> keyOwners = new HashMap<>();
  private final Configuration.Builder builder = Configuration.builder();
  private final MapReader root;
  private InternTable table;
  private Limits limits = Limits.defaults();
  private String salt;

  private ConfigReader(ConfigNode tree, InternTable table) {
    root = MapReader.of("", requireNonNull(tree, "tree"), problems);
    this.table = requireNonNull(table, "table");
  }

  /**
   * Reads a complete configuration tree.
   *
   * @param tree merged configuration tree
   * @param table numbers already assigned to names
   * @param revision revision to give the configuration
   * @return the configuration with the numbers of its names, or all errors of the tree
   */
  public static Result read(ConfigNode tree, InternTable table, long revision) {
    return new ConfigReader(tree, table).read(revision);
  }

  private Result read(long revision) {
    salt = root.text("salt", SALT, SALT_FORM);
    builder.revision(revision).salt(salt);
    keys(root, "operatorKeys", "operators").forEach(builder::operatorKey);
    readLimits();
    Set<String> regions = names("regions");
    Set<String> domains = readDomains(regions);
    Set<String> models = readModels();
    Map<String, Optional<ServiceType>> services = readServices();
    readUpstreams(domains, models, services);
    readTeams();
    root.rejectUnknownKeys();
    return problems.isEmpty()
        ? new Result.Accepted(builder.build(), table)
        : new Result.Refused(problems);
  }

  private Set<String> names(String list) {
    return items(list).stream()
        .map(ConfigReader::readNameOnly)
        .collect(Collectors.toCollection(LinkedHashSet::new));
  }

  private Set<String> readDomains(Set<String> regions) {
    Set<String> names = new LinkedHashSet<>();
    for (MapReader item : items("domains")) {
      String name = readName(item);
      String region = reference(item, "region", regions);
      item.rejectUnknownKeys();
      names.add(name);
      builder.domain(new Domain(FailureDomain.of(name), region));
    }
    return names;
  }

  private Set<String> readModels() {
    Set<String> names = names("models");
    table = table.assign(Namespace.MODELS, names);
    names.forEach(name -> builder.model(name, id(Namespace.MODELS, name, ModelId::of)));
    return names;
  }

  private Map<String, Optional<ServiceType>> readServices() {
    Map<String, Optional<ServiceType>> types = new LinkedHashMap<>();
    List<MapReader> items = items("services");
    table = table.assign(Namespace.SERVICES, namesOf(items));
    for (MapReader item : items) {
      String name = readName(item);
      Optional<ServiceType> type = item.choice("type", ServiceType.class);
      CostUnit unit = item.choice("costUnit", CostUnit.class).orElse(CostUnit.CALLS);
      List<RequestKind> kinds = kinds(item);
      Duration deadline = item.duration("deadline", limits.requestDeadline());
      if (deadline.compareTo(limits.requestDeadline()) > 0) {
        String expected = "at most the requestDeadline of " + limits.requestDeadline().toSeconds();
        item.addProblem("deadline", expected + " s", deadline.toSeconds() + " s");
      }
      item.rejectUnknownKeys();
      types.put(name, type);
      ServiceId id = id(Namespace.SERVICES, name, ServiceId::of);
      builder.service(new Service(id, name, type.orElse(ServiceType.PLAIN), unit, kinds, deadline));
    }
    return types;
  }

  private List<RequestKind> kinds(MapReader service) {
    List<RequestKind> kinds = new ArrayList<>();
    for (MapReader item : items(service, "kinds")) {
      String method = item.text("method", METHOD, METHOD_FORM);
      String path = item.text("path", PATH, PATH_FORM);
      kinds.add(new RequestKind(readName(item), method, path, item.bool("idempotent")));
      item.rejectUnknownKeys();
    }
    return kinds;
  }

  private void readUpstreams(
      Set<String> domains, Set<String> models, Map<String, Optional<ServiceType>> services) {
    List<MapReader> items = items("upstreams");
    table = table.assign(Namespace.UPSTREAMS, namesOf(items));
    Map<String, String> addresses = new HashMap<>();
    for (MapReader item : items) {
      Upstream upstream = upstream(item, domains, models, services);
      item.rejectUnknownKeys();
      String address = upstream.host() + " port " + upstream.port();
      String other = addresses.putIfAbsent(address, upstream.name());
      if (other != null) {
        item.addProblem(
            "port",
            "a host and port that no other upstream has",
            address + ", the same as upstream " + other);
      }
      builder.upstream(upstream);
    }
  }

  private Upstream upstream(
      MapReader item,
      Set<String> domains,
      Set<String> models,
      Map<String, Optional<ServiceType>> services) {
    String name = readName(item);
    String service = reference(item, "service", services.keySet());
    FailureDomain domain = FailureDomain.of(reference(item, "domain", domains));
    String host = item.text("host", HOST, HOST_FORM);
    int port = item.integer("port", 1, MAX_PORT);
    int window = item.integer("window", 1, MAX_WINDOW);
    int coldLimit = item.integer("coldLimit", 1, window);
    return new Upstream(
        id(Namespace.UPSTREAMS, name, UpstreamId::of),
        name,
        id(Namespace.SERVICES, service, ServiceId::of),
        domain,
        host,
        port,
        modelsOf(item, models, services.getOrDefault(service, Optional.empty())),
        window,
        coldLimit,
        item.bool("checksOrders", false));
  }

  private Set<ModelId> modelsOf(MapReader item, Set<String> known, Optional<ServiceType> type) {
    List<Scalar> listed = item.texts("models", NAME, NAME_FORM);
    for (Scalar model : listed) {
      if (!known.contains(model.text())) {
        problems.add(
            ConfigProblem.at(
                model.source(), item.path() + ".models", oneOf(known), model.describe()));
      }
    }
    if (type.equals(Optional.of(ServiceType.MODEL)) && listed.isEmpty()) {
      item.addProblem("models", "at least one model for an upstream of a MODEL service", "none");
    }
    if (type.equals(Optional.of(ServiceType.PLAIN)) && !listed.isEmpty()) {
      item.addProblem("models", "no models for an upstream of a PLAIN service", "some");
    }
    return listed.stream()
        .map(model -> id(Namespace.MODELS, model.text(), ModelId::of))
        .collect(Collectors.toSet());
  }

  private void readTeams() {
    List<MapReader> items = items("teams");
    table = table.assign(Namespace.TEAMS, namesOf(items));
    for (MapReader item : items) {
      String name = readName(item);
      double weight = item.decimal("weight", 0, MAX_WEIGHT, 1);
      int maxQueued = item.integer("maxQueued", 1, MAX_TEAM_REQUESTS, DEFAULT_MAX_QUEUED);
      int maxOpen = item.integer("maxOpen", 1, MAX_TEAM_REQUESTS, DEFAULT_MAX_OPEN);
      List<KeyHash> keys = keys(item, "keys", "team " + name);
      item.rejectUnknownKeys();
      TeamId id = id(Namespace.TEAMS, name, TeamId::of);
      builder.team(new Team(id, name, weight, keys, maxQueued, maxOpen));
    }
  }

  private void readLimits() {
    Limits defaults = Limits.defaults();
    root.map("limits")
        .ifPresent(
            item -> {
              limits =
                  new Limits(
                      item.integer("maxBodyBytes", KIB, MAX_BODY_BYTES, defaults.maxBodyBytes()),
                      item.integer(
                          "maxHeaderBytes", KIB, MAX_HEADER_BYTES, defaults.maxHeaderBytes()),
                      item.integer("maxOpenPerConnection", 1, KIB, defaults.maxOpenPerConnection()),
                      item.duration("requestDeadline", defaults.requestDeadline()),
                      item.duration("readTimeout", defaults.readTimeout()),
                      item.decimal("retryShare", 0, 1, defaults.retryShare()));
              item.rejectUnknownKeys();
            });
    builder.limits(limits);
  }

  private List<KeyHash> keys(MapReader item, String list, String owner) {
    List<Scalar> hashes = item.texts(list, KEY_HASH, KEY_HASH_FORM);
    for (Scalar hash : hashes) {
      String other = keyOwners.putIfAbsent(hash.text(), owner);
      if (other != null) {
        item.addProblem(
            list, "keys that are not listed elsewhere", "a key also listed for " + other);
      }
    }
    return hashes.stream().map(hash -> new KeyHash(salt, hash.text())).toList();
  }

  private List<MapReader> items(String list) {
    return items(root, list);
  }

  private List<MapReader> items(MapReader parent, String list) {
    List<ConfigNode> nodes = parent.list(list);
    if (nodes.isEmpty()) {
      parent.addProblem(list, "at least one item", "none");
    }
    String prefix = parent.path().isEmpty() ? list : parent.path() + "." + list;
    Map<String, Source> seen = new HashMap<>();
    List<MapReader> readers = new ArrayList<>();
    for (int i = 0; i < nodes.size(); i++) {
      ConfigNode node = nodes.get(i);
      String label = node.name().orElse(Integer.toString(i));
      String path = prefix + "[" + label + "]";
      Source first = seen.putIfAbsent(label, node.source());
      if (first != null) {
        String found = "the name on line " + first.line() + " repeated";
        problems.add(ConfigProblem.at(node.source(), path, "a unique name", found));
      }
      readers.add(MapReader.of(path, node, problems));
    }
    return readers;
  }

  private String reference(MapReader item, String key, Set<String> known) {
    String name = item.text(key, NAME, NAME_FORM);
    if (!known.contains(name) && !name.equals(MapReader.INVALID)) {
      item.addProblem(key, oneOf(known), "'" + name + "'");
    }
    return name;
  }

  private static String oneOf(Set<String> known) {
    return "one of " + known;
  }

  private static List<String> namesOf(List<MapReader> items) {
    return items.stream().map(MapReader::label).toList();
  }

  private static String readName(MapReader item) {
    return item.text("name", NAME, NAME_FORM);
  }

  private static String readNameOnly(MapReader item) {
    String name = readName(item);
    item.rejectUnknownKeys();
    return name;
  }

  private <T> T id(Namespace namespace, String name, IntFunction<T> of) {
    return of.apply(table.number(namespace, name).orElse(0));
  }

  /** Result of reading a configuration tree. */
  public sealed interface Result {

    /**
     * The tree is valid.
     *
     * @param configuration the configuration
     * @param table numbers of the names in the configuration, and of no others
     */
    record Accepted(Configuration configuration, InternTable table) implements Result {}

    /**
     * The tree has errors.
     *
     * @param problems all errors, in the order in which the sections are read
     */
    record Refused(List<ConfigProblem> problems) implements Result {

      /** Copies the list. */
      public Refused {
        problems = List.copyOf(problems);
      }
    }
  }
}
