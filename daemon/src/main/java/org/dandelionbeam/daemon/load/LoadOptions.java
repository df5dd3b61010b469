package org.dandelionbeam.daemon.load;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FleetException;

/**
 * Validated options of a load.
 *
 * @param addresses where the requests go, on loopback
 * @param mixFile the mix
 * @param rate mean number of requests per second
 * @param count maximum number of requests
 * @param duration time in which requests are started
 * @param timeout timeout of one request, from its intended start
 * @param connections maximum number of connections to one address
 * @param seed seed of all random numbers
 * @param json where the JSON report goes
 * @param plot where the PNG plot goes
 */
record LoadOptions(
    List<InetSocketAddress> addresses,
    Path mixFile,
    double rate,
    int count,
    Duration duration,
    Duration timeout,
    int connections,
    long seed,
    Optional<Path> json,
    Optional<Path> plot) {
  private static final int MAX_RATE = 100_000;
  private static final int MAX_COUNT = 10_000_000;
  private static final int MAX_SECONDS = 3_600;
  private static final int MAX_CONNECTIONS = 4_096;
  private static final int MAX_PORT = 65_535;

  static Options options() {
    return new Options()
        .addOption(optionWithValue("address", "HOST:PORT", "address on loopback; may be repeated"))
        .addOption(optionWithValue("mix", "FILE", "YAML file with teams and kinds of request"))
        .addOption(optionWithValue("rate", "N", "requests per second (default 100)"))
        .addOption(
            optionWithValue(
                "count", "N", "maximum number of requests (default: limited by the duration only)"))
        .addOption(
            optionWithValue(
                "duration", "SECONDS", "time in which requests are started (default 10)"))
        .addOption(optionWithValue("timeout", "SECONDS", "timeout of one request (default 60)"))
        .addOption(
            optionWithValue(
                "connections", "N", "maximum number of connections to one address (default 512)"))
        .addOption(optionWithValue("seed", "N", "seed of all random numbers (default 1)"))
        .addOption(optionWithValue("json", "FILE", "write the report as JSON"))
        .addOption(optionWithValue("plot", "FILE", "write a plot of latencies as PNG"))
        .addOption(Option.builder("h").longOpt("help").desc("show this text").get());
  }

  static LoadOptions of(CommandLine line) {
    Validator validator = new Validator(line);
    LoadOptions options =
        new LoadOptions(
            validator.addresses(),
            validator.mixFile(),
            validator.number("rate", 100, MAX_RATE),
            (int) validator.number("count", MAX_COUNT, MAX_COUNT),
            Duration.ofSeconds((long) validator.number("duration", 10, MAX_SECONDS)),
            Duration.ofSeconds((long) validator.number("timeout", 60, MAX_SECONDS)),
            (int) validator.number("connections", 512, MAX_CONNECTIONS),
            validator.seed(),
            Optional.ofNullable(line.getOptionValue("json")).map(Path::of),
            Optional.ofNullable(line.getOptionValue("plot")).map(Path::of));
    validator.throwIfInvalid();
    return options;
  }

  private static Option optionWithValue(String name, String argument, String description) {
    return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
  }

  /** Reads option values and collects all errors, so that they are reported at once. */
  private static final class Validator {
    private final CommandLine line;
    private final List<String> errors = new ArrayList<>();

    Validator(CommandLine line) {
      this.line = line;
    }

    List<InetSocketAddress> addresses() {
      String[] values = line.getOptionValues("address");
      if (values == null) {
        errors.add("--address: missing, expected HOST:PORT on loopback");
        return List.of();
      }
      List<InetSocketAddress> addresses = new ArrayList<>();
      for (String value : values) {
        address(value).ifPresent(addresses::add);
      }
      return addresses;
    }

    Path mixFile() {
      String value = line.getOptionValue("mix", "");
      if (value.isEmpty() || !Files.isReadable(Path.of(value))) {
        errors.add("--mix: '" + value + "', expected a readable YAML file");
      }
      return Path.of(value);
    }

    double number(String name, double defaultValue, double max) {
      String value = line.getOptionValue(name);
      if (value == null) {
        return defaultValue;
      }
      Optional<Double> number = parse(value).filter(parsed -> parsed >= 1 && parsed <= max);
      if (number.isEmpty()) {
        errors.add("--%s: '%s', expected a number from 1 to %d".formatted(name, value, (long) max));
      }
      return number.orElse(defaultValue);
    }

    long seed() {
      String value = line.getOptionValue("seed", "1");
      try {
        return Long.parseLong(value);
      } catch (NumberFormatException e) {
        errors.add("--seed: '" + value + "', expected a whole number");
        return 1;
      }
    }

    void throwIfInvalid() {
      line.getArgList().forEach(word -> errors.add("'" + word + "': unexpected argument"));
      if (!errors.isEmpty()) {
        throw new FleetException(ErrorCode.INVALID_SETTING, String.join("\n", errors));
      }
    }

    private Optional<InetSocketAddress> address(String value) {
      int colon = value.lastIndexOf(':');
      Optional<InetAddress> host = host(value.substring(0, Math.max(0, colon)));
      Optional<Double> port = parse(value.substring(colon + 1)).filter(isPort());
      if (host.isEmpty() || port.isEmpty()) {
        errors.add("--address: '" + value + "', expected HOST:PORT on loopback");
        return Optional.empty();
      }
      return Optional.of(new InetSocketAddress(host.get(), port.get().intValue()));
    }

    private static Optional<InetAddress> host(String text) {
      String number = text.equals("localhost") ? "127.0.0.1" : text;
      return Optional.ofNullable(NetUtil.createInetAddressFromIpAddressString(number))
          .filter(InetAddress::isLoopbackAddress);
    }

    private static Predicate<Double> isPort() {
      return port -> port >= 1 && port <= MAX_PORT && port == Math.rint(port);
    }

    private static Optional<Double> parse(String text) {
      try {
        return Optional.of(Double.valueOf(text));
      } catch (NumberFormatException e) {
        return Optional.empty();
      }
    }
  }
}
