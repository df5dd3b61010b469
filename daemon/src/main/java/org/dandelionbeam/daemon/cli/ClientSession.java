package org.dandelionbeam.daemon.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.dandelionbeam.daemon.Arguments;
import org.dandelionbeam.daemon.ExitStatus;
import org.dandelionbeam.daemon.Flag;
import org.dandelionbeam.daemon.SettingProblem;

/** One run of an operator command: checks its settings, calls a router, prints the response. */
final class ClientSession {
  private static final Pattern KEY_PATTERN = Pattern.compile("[\\x21-\\x7e]{1,4096}");
  private static final String KEY_FORMAT = "a key of visible ASCII characters";

  private final Arguments arguments;
  private final Map<String, String> environment;
  private final PrintStream out;
  private final PrintStream err;

  private ClientSession(
      Arguments arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
    this.arguments = arguments;
    this.environment = environment;
    this.out = out;
    this.err = err;
  }

  /** Returns a session with parsed arguments. */
  static ClientSession of(
      List<Flag> flags,
      List<String> args,
      Map<String, String> environment,
      PrintStream out,
      PrintStream err) {
    Arguments arguments = Arguments.parse(flags, args, environment);
    return new ClientSession(arguments, environment, out, err);
  }

  /** Returns the arguments, to which callers add the problems that they find. */
  Arguments arguments() {
    return arguments;
  }

  /** Calls the router with the operator key and prints the response or the failure. */
  ExitStatus callAsOperator(Function<RouterClient, JsonNode> call) {
    return call(operatorKey(), call);
  }

  /** Calls the router without a key and prints the response or the failure. */
  ExitStatus callWithoutKey(Function<RouterClient, JsonNode> call) {
    return call(Optional.empty(), call);
  }

  /** Prints all problems of the arguments and returns {@code USAGE}. */
  ExitStatus printProblems() {
    arguments.problems().forEach(problem -> err.println(problem.message()));
    return ExitStatus.USAGE;
  }

  /** Prints lines to standard output. */
  void print(List<String> lines) {
    lines.forEach(out::println);
  }

  /** Prints lines to standard error. */
  void printErrors(List<String> lines) {
    lines.forEach(err::println);
  }

  private ExitStatus call(Optional<String> key, Function<RouterClient, JsonNode> call) {
    Optional<URI> router = router();
    if (!arguments.problems().isEmpty()) {
      return printProblems();
    }
    try {
      JsonNode response = call.apply(RouterClient.of(router.orElseThrow(), key));
      boolean isRaw = arguments.has(ClientFlags.JSON);
      print(isRaw ? List.of(response.toPrettyString()) : JsonTextFormatter.lines(response));
      return ExitStatus.OK;
    } catch (RouterCallException e) {
      err.println(e.summaryLine());
      printErrors(JsonTextFormatter.lines(e.extensionMembers()));
      return ExitStatus.FAILED;
    }
  }

  private Optional<URI> router() {
    String text = arguments.text(ClientFlags.ROUTER).orElse("");
    try {
      URI uri = new URI(text.endsWith("/") ? text.substring(0, text.length() - 1) : text);
      boolean isHttp = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
      boolean isBase = uri.getHost() != null && uri.getRawPath().isEmpty();
      if (isHttp && isBase && uri.getRawUserInfo() == null && uri.getRawQuery() == null) {
        return Optional.of(uri);
      }
    } catch (URISyntaxException e) {
      arguments.addProblem(routerProblem(e.getReason()));
      return Optional.empty();
    }
    arguments.addProblem(
        routerProblem("\"" + text.replaceFirst("//[^/@]*@", "//(hidden)@") + "\""));
    return Optional.empty();
  }

  private SettingProblem routerProblem(String found) {
    String name = arguments.origin(ClientFlags.ROUTER);
    return new SettingProblem(name, found, "a URI such as http://10.0.0.7:8080");
  }

  private Optional<String> operatorKey() {
    Optional<String> file = arguments.text(ClientFlags.KEY_FILE);
    if (file.isPresent()) {
      return readKey(file.get());
    }
    if (environment.containsKey(ClientFlags.OPERATOR_KEY)) {
      return validatedKey(ClientFlags.OPERATOR_KEY, environment.get(ClientFlags.OPERATOR_KEY));
    }
    String expected = "a file with an operator key, or the key in " + ClientFlags.OPERATOR_KEY;
    return arguments.required(ClientFlags.KEY_FILE, expected);
  }

  private Optional<String> readKey(String file) {
    try {
      String text = Files.readString(Path.of(file), StandardCharsets.ISO_8859_1);
      return validatedKey(ClientFlags.KEY_FILE.dashedName(), text);
    } catch (IOException | InvalidPathException e) {
      arguments.addInvalidValue(ClientFlags.KEY_FILE, file, "a readable file with " + KEY_FORMAT);
      return Optional.empty();
    }
  }

  private Optional<String> validatedKey(String name, String text) {
    String key = text.strip();
    if (KEY_PATTERN.matcher(key).matches()) {
      return Optional.of(key);
    }
    arguments.addProblem(new SettingProblem(name, "an invalid value (hidden)", KEY_FORMAT));
    return Optional.empty();
  }
}
