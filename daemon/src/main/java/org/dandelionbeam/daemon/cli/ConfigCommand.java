package org.dandelionbeam.daemon.cli;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.dandelionbeam.config.ConfigProblem;
import org.dandelionbeam.config.wiring.ConfigFiles;
import org.dandelionbeam.daemon.Arguments;
import org.dandelionbeam.daemon.Command;
import org.dandelionbeam.daemon.ExitStatus;
import org.dandelionbeam.daemon.Flag;
import org.dandelionbeam.daemon.SettingProblem;

/** Command that checks, compares, applies and shows the configuration. */
final class ConfigCommand implements Command {
  private static final String PATH = "/admin/v1/config";
  private static final Flag EXPECTED_REVISION =
      Flag.of(
          "expected-revision",
          "NUMBER",
          "Revision that the change is based on, as config show gives it; 0 for the first"
              + " configuration. Required by apply, which fails if another one is in force.");
  private static final List<Flag> FLAGS =
      List.of(ClientFlags.ROUTER, ClientFlags.KEY_FILE, EXPECTED_REVISION, ClientFlags.JSON);
  private static final String REVISION_FORMAT = "a whole number from 0 up";

  private final Map<String, String> environment;

  private ConfigCommand(Map<String, String> environment) {
    this.environment = environment;
  }

  static ConfigCommand of(Map<String, String> environment) {
    return new ConfigCommand(requireNonNull(environment, "environment"));
  }

  @Override
  public String name() {
    return "config";
  }

  @Override
  public String summary() {
    return "check, compare, apply and show the configuration";
  }

  @Override
  public String help() {
    return CallCommand.help(
            FLAGS,
            "dandelionbeam config check BASE [OVERLAY...]",
            "dandelionbeam config diff BASE [OVERLAY...] [FLAGS]",
            "dandelionbeam config apply BASE [OVERLAY...] --expected-revision NUMBER [FLAGS]",
            "dandelionbeam config show [FLAGS]")
        .paragraph(
            "check reads a base file and the overlays of its site, merges them in order and prints"
                + " every error with file, line, path, what was expected and what was found. It"
                + " calls no router.")
        .paragraph("diff shows what apply would change in the configuration in force.")
        .paragraph(
            "apply puts the configuration in force. It fails with CONFLICT and the difference if"
                + " another revision is in force meanwhile. If the response is lost, run show"
                + " before you repeat apply.")
        .paragraph("show prints the revision in force and how far its rollout has progressed.")
        .examples(
            "dandelionbeam config check majlis.yaml majlis-seri-teratai.yaml",
            "dandelionbeam config apply majlis.yaml majlis-seri-teratai.yaml --expected-revision"
                + " 17")
        .build()
        .text();
  }

  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    ClientSession session = ClientSession.of(FLAGS, args, environment, out, err);
    Arguments arguments = session.arguments();
    List<String> words = arguments.positionals();
    Optional<Action> action = words.isEmpty() ? Optional.empty() : Action.of(words.get(0));
    if (action.isEmpty()) {
      String found = words.isEmpty() ? "nothing" : "\"" + words.get(0) + "\"";
      arguments.addProblem(new SettingProblem("action", found, "one of " + Action.allArguments()));
      return session.printProblems().status();
    }
    List<Path> files = words.subList(1, words.size()).stream().map(Path::of).toList();
    return run(action.get(), files, session).status();
  }

  private ExitStatus run(Action action, List<Path> files, ClientSession session) {
    Arguments arguments = session.arguments();
    if (action == Action.SHOW) {
      files.forEach(
          file ->
              arguments.addProblem(SettingProblem.ofValue("argument", file.toString(), "none")));
      return session.callAsOperator(client -> client.get(PATH));
    }
    if (files.isEmpty()) {
      arguments.addProblem(new SettingProblem("BASE", "nothing", "the base file"));
    }
    Optional<Long> revision = expectedRevision(action, arguments);
    if (!arguments.problems().isEmpty()) {
      return session.printProblems();
    }
    List<String> errors = check(files);
    if (!errors.isEmpty()) {
      session.printErrors(errors);
      return ExitStatus.FAILED;
    }
    if (action == Action.CHECK) {
      session.print(List.of("no errors"));
      return ExitStatus.OK;
    }
    ObjectNode body = body(files);
    body.put("expectedRevision", revision.orElse(0L));
    return session.callAsOperator(client -> client.post(PATH + "/" + action.argument(), body));
  }

  private static Optional<Long> expectedRevision(Action action, Arguments arguments) {
    Optional<String> text =
        action == Action.APPLY
            ? arguments.required(EXPECTED_REVISION, REVISION_FORMAT)
            : arguments.text(EXPECTED_REVISION);
    Optional<Long> revision =
        text.filter(digits -> digits.matches("[0-9]{1,18}")).map(Long::parseLong);
    if (text.isPresent() && revision.isEmpty()) {
      arguments.addInvalidValue(EXPECTED_REVISION, text.get(), REVISION_FORMAT);
    }
    return revision;
  }

  private static List<String> check(List<Path> files) {
    return ConfigFiles.load(files.get(0), files.subList(1, files.size())).problems().stream()
        .map(ConfigProblem::message)
        .toList();
  }

  private static ObjectNode body(List<Path> files) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("base", text(files.get(0)));
    ArrayNode overlays = body.putArray("overlays");
    files.stream().skip(1).forEach(file -> overlays.add(text(file)));
    return body;
  }

  private static String text(Path file) {
    try {
      return Files.readString(file, StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private enum Action {
    CHECK,
    DIFF,
    APPLY,
    SHOW;

    static Optional<Action> of(String argument) {
      return Arrays.stream(values())
          .filter(action -> action.argument().equals(argument))
          .findFirst();
    }

    static String allArguments() {
      return Arrays.stream(values()).map(Action::argument).collect(Collectors.joining(", "));
    }

    String argument() {
      return name().toLowerCase(Locale.ROOT);
    }
  }
}
