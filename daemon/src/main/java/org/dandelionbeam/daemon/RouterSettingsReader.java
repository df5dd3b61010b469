package org.dandelionbeam.daemon;

import java.io.IOException;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.dandelionbeam.base.FailureDomain;
import org.dandelionbeam.daemon.cli.ClientFlags;
import org.dandelionbeam.node.RouterSettings;
import org.slf4j.event.Level;

/** Reads a router's settings from flags and environment and reports all invalid ones at once. */
public final class RouterSettingsReader {
  /** Environment variable that holds the fleet's secret itself instead of a file name. */
  public static final String FLEET_KEY = Flag.VARIABLE_PREFIX + "FLEET_KEY";

  private static final String OCTET = "(25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";
  private static final Pattern IPV4_ADDRESS = Pattern.compile("(" + OCTET + "\\.){3}" + OCTET);
  private static final String ANY_INTERFACE = "0.0.0.0";
  private static final Pattern DOMAIN_NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
  private static final int MAX_PORT = 65_535;
  private static final int MAX_DRAIN_SECONDS = 3_600;
  private static final int MIN_KEY_BYTES = 16;
  private static final int MAX_KEY_BYTES = 4_096;
  private static final String KEY_FORMAT = "a secret of 16 to 4096 bytes";
  private static final String PORT_FORMAT = "a whole number from 1 to " + MAX_PORT;
  private static final String IP_FORMAT = "the IPv4 address of an interface such as 10.0.0.7";
  private static final String PEER_FORMAT = "an address such as 10.0.0.7:8081";
  private static final String URI_FORMAT = "an http or https URI such as http://10.0.0.2:7070";

  private final Arguments arguments;
  private final Map<String, String> environment;

  private RouterSettingsReader(Arguments arguments, Map<String, String> environment) {
    this.arguments = arguments;
    this.environment = environment;
  }

  /**
   * Reads the settings.
   *
   * @param args arguments after the name of the command
   * @param environment the environment variables
   * @return the options, or all problems
   */
  public static Result read(List<String> args, Map<String, String> environment) {
    Arguments arguments = Arguments.parse(RouterFlags.ALL, args, environment);
    return new RouterSettingsReader(arguments, environment).read();
  }

  private Result read() {
    rejectPositionals();
    rejectUnknownVariables();
    Optional<String> host =
        parsedValue(RouterFlags.HOST, IP_FORMAT, RouterSettingsReader::parseInterfaceIp);
    Optional<Integer> callerPort = parsedValue(RouterFlags.CALLER_PORT, PORT_FORMAT, Numbers::port);
    Optional<Integer> peerPort = parsedValue(RouterFlags.PEER_PORT, PORT_FORMAT, Numbers::port);
    rejectSamePorts(callerPort, peerPort);
    Optional<FailureDomain> domain = domain();
    List<String> seeds = seeds();
    Optional<String> platform = platform();
    Optional<byte[]> fleetKey = fleetKey();
    Optional<LogFormat> format =
        parsedValue(RouterFlags.LOG_FORMAT, "plain or json", LogFormat::of);
    Optional<Level> level =
        parsedValue(RouterFlags.LOG_LEVEL, "error, warn, info, debug or trace", this::parseLevel);
    String drainFormat = "a whole number of seconds from 1 to " + MAX_DRAIN_SECONDS;
    Optional<Long> drain =
        parsedValue(RouterFlags.DRAIN_TIMEOUT, drainFormat, Numbers::drainSeconds);
    Optional<Long> seed = seed();
    if (!arguments.problems().isEmpty()) {
      return new Result.Refused(arguments.problems());
    }
    RouterSettings settings =
        RouterSettings.builder()
            .host(host.orElseThrow())
            .ports(callerPort.orElseThrow(), peerPort.orElseThrow())
            .domain(domain.orElseThrow())
            .seeds(seeds)
            .platform(platform.orElseThrow())
            .fleetKey(fleetKey.orElseThrow())
            .seed(seed.orElseThrow())
            .drainTimeout(Duration.ofSeconds(drain.orElseThrow()))
            .build();
    return new Result.Accepted(
        new RouterOptions(settings, format.orElseThrow(), level.orElseThrow()));
  }

  private void rejectPositionals() {
    arguments
        .positionals()
        .forEach(
            word -> arguments.addProblem(SettingProblem.ofValue("argument", word, "flags only")));
  }

  private void rejectUnknownVariables() {
    Set<String> known =
        RouterFlags.ALL.stream().flatMap(f -> f.variable().stream()).collect(Collectors.toSet());
    known.add(FLEET_KEY);
    known.addAll(ClientFlags.VARIABLES);
    new TreeSet<>(environment.keySet())
        .stream()
            .filter(name -> name.startsWith(Flag.VARIABLE_PREFIX) && !known.contains(name))
            .forEach(
                name ->
                    arguments.addProblem(
                        new SettingProblem(
                            name, "an unknown variable", "a variable that --help lists")));
  }

  private void rejectSamePorts(Optional<Integer> caller, Optional<Integer> peer) {
    if (caller.isPresent() && caller.equals(peer)) {
      String expected = "another port than " + arguments.origin(RouterFlags.CALLER_PORT);
      arguments.addInvalidValue(RouterFlags.PEER_PORT, peer.get().toString(), expected);
    }
  }

  private Optional<FailureDomain> domain() {
    String expected = "a name of at most 63 of a-z 0-9 . _ -";
    return arguments
        .required(RouterFlags.DOMAIN, expected)
        .flatMap(
            text ->
                parseOrReport(
                    RouterFlags.DOMAIN, text, expected, RouterSettingsReader::parseDomain));
  }

  private Optional<String> platform() {
    return arguments
        .required(RouterFlags.PLATFORM_URI, URI_FORMAT)
        .flatMap(
            text ->
                parseOrReport(
                    RouterFlags.PLATFORM_URI,
                    withoutUserInfo(text),
                    URI_FORMAT,
                    shown -> shown.equals(text) ? parseBaseUri(text) : Optional.empty()));
  }

  private List<String> seeds() {
    return arguments.texts(RouterFlags.SEED_PEER).stream()
        .flatMap(
            text ->
                parseOrReport(
                    RouterFlags.SEED_PEER,
                    text,
                    PEER_FORMAT,
                    RouterSettingsReader::parsePeerAddress)
                    .stream())
        .toList();
  }

  private Optional<Long> seed() {
    return arguments.text(RouterFlags.RANDOM_SEED).isEmpty()
        ? Optional.of(new SecureRandom().nextLong())
        : parsedValue(RouterFlags.RANDOM_SEED, "a whole number of 64 bits", Numbers::seed);
  }

  private Optional<byte[]> fleetKey() {
    Optional<String> file = arguments.text(RouterFlags.FLEET_KEY_FILE);
    if (file.isPresent()) {
      return readKeyFile(file.get());
    }
    String secret = environment.get(FLEET_KEY);
    if (secret != null) {
      return validatedKey(FLEET_KEY, secret.getBytes(StandardCharsets.UTF_8));
    }
    String expected = "a file with " + KEY_FORMAT + ", or the secret in " + FLEET_KEY;
    return arguments.required(RouterFlags.FLEET_KEY_FILE, expected).flatMap(this::readKeyFile);
  }

  private Optional<byte[]> readKeyFile(String file) {
    try {
      String text = Files.readString(Path.of(file), StandardCharsets.ISO_8859_1).stripTrailing();
      return validatedKey(
          arguments.origin(RouterFlags.FLEET_KEY_FILE), text.getBytes(StandardCharsets.ISO_8859_1));
    } catch (IOException | InvalidPathException e) {
      arguments.addInvalidValue(
          RouterFlags.FLEET_KEY_FILE, file, "a readable file with " + KEY_FORMAT);
      return Optional.empty();
    }
  }

  private Optional<byte[]> validatedKey(String name, byte[] secret) {
    if (secret.length >= MIN_KEY_BYTES && secret.length <= MAX_KEY_BYTES) {
      return Optional.of(secret);
    }
    arguments.addProblem(new SettingProblem(name, secret.length + " bytes (hidden)", KEY_FORMAT));
    return Optional.empty();
  }

  private <T> Optional<T> parsedValue(
      Flag flag, String expected, Function<String, Optional<T>> parser) {
    return arguments.text(flag).flatMap(text -> parseOrReport(flag, text, expected, parser));
  }

  private <T> Optional<T> parseOrReport(
      Flag flag, String text, String expected, Function<String, Optional<T>> parser) {
    Optional<T> parsed = parser.apply(text);
    if (parsed.isEmpty()) {
      arguments.addInvalidValue(flag, text, expected);
    }
    return parsed;
  }

  private Optional<Level> parseLevel(String text) {
    return Arrays.stream(Level.values())
        .filter(level -> level.name().toLowerCase(Locale.ROOT).equals(text))
        .findFirst();
  }

  private static Optional<String> parseInterfaceIp(String text) {
    boolean isValid = IPV4_ADDRESS.matcher(text).matches() && !text.equals(ANY_INTERFACE);
    return isValid ? Optional.of(text) : Optional.empty();
  }

  private static Optional<FailureDomain> parseDomain(String text) {
    return DOMAIN_NAME.matcher(text).matches()
        ? Optional.of(FailureDomain.of(text))
        : Optional.empty();
  }

  private static Optional<String> parsePeerAddress(String text) {
    int colon = text.indexOf(':');
    boolean isValid =
        colon > 0
            && parseInterfaceIp(text.substring(0, colon)).isPresent()
            && Numbers.port(text.substring(colon + 1)).isPresent();
    return isValid ? Optional.of(text) : Optional.empty();
  }

  private static Optional<String> parseBaseUri(String text) {
    try {
      URI uri = new URI(text);
      boolean isHttp = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
      boolean isBase =
          uri.getHost() != null && uri.getRawQuery() == null && uri.getRawFragment() == null;
      String base = text.endsWith("/") ? text.substring(0, text.length() - 1) : text;
      return isHttp && isBase ? Optional.of(base) : Optional.empty();
    } catch (URISyntaxException e) {
      return Optional.empty();
    }
  }

  /** Hides the user info of a URI, which may hold a password; such a URI is rejected anyway. */
  private static String withoutUserInfo(String text) {
    return text.replaceFirst("//[^/@]*@", "//(hidden)@");
  }

  /** Result of reading the settings. */
  public sealed interface Result {

    /**
     * All settings are valid.
     *
     * @param options the options
     */
    record Accepted(RouterOptions options) implements Result {}

    /**
     * Some settings are missing or invalid.
     *
     * @param problems all problems, not only the first
     */
    record Refused(List<SettingProblem> problems) implements Result {}
  }

  /** Parsers of integers within a range. */
  private static final class Numbers {
    static Optional<Integer> port(String text) {
      return parseInRange(text, 1, MAX_PORT).map(Long::intValue);
    }

    static Optional<Long> drainSeconds(String text) {
      return parseInRange(text, 1, MAX_DRAIN_SECONDS);
    }

    static Optional<Long> seed(String text) {
      return parseInRange(text, Long.MIN_VALUE, Long.MAX_VALUE);
    }

    private static Optional<Long> parseInRange(String text, long min, long max) {
      try {
        long value = Long.parseLong(text);
        return value >= min && value <= max ? Optional.of(value) : Optional.empty();
      } catch (NumberFormatException e) {
        return Optional.empty();
      }
    }
  }
}
