package org.dandelionbeam.daemon.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.dandelionbeam.daemon.Arguments;
import org.dandelionbeam.daemon.Command;
import org.dandelionbeam.daemon.Flag;
import org.dandelionbeam.daemon.HelpPage;
import org.dandelionbeam.daemon.SettingProblem;

/** Creates the operator commands. */
public final class ClientCommands {
  private static final String ADMIN = "/admin/v1";
  private static final Flag DOMAIN =
      Flag.of("domain", "NAME", "Failure domain of the caller, which comes first in the list.");
  private static final Set<String> DOMAIN_ACTIONS = Set.of("leave", "return");

  private final Map<String, String> environment;

  private ClientCommands(Map<String, String> environment) {
    this.environment = environment;
  }

  /**
   * Returns all operator commands.
   *
   * @param environment the environment variables
   * @return the commands in the order in which the general help lists them
   */
  public static List<Command> all(Map<String, String> environment) {
    ClientCommands commands = new ClientCommands(Map.copyOf(environment));
    return List.of(
        commands.readCommand("status", "show the state of the fleet as the router knows it"),
        commands.readCommand("top", "show the load and usage of each team"),
        commands.readCommand("events", "show the last changes in the fleet, and why"),
        commands.explainCommand(),
        commands.addressesCommand(),
        commands.domainCommand(),
        ConfigCommand.of(commands.environment),
        KeyCommand.of(new SecureRandom()));
  }

  private Command readCommand(String name, String summary) {
    HelpPage help =
        CallCommand.help(ClientFlags.CALL, "dandelionbeam " + name + " [FLAGS]")
            .paragraph("Asks one router to " + summary + ". Any router answers.")
            .examples(
                "dandelionbeam " + name + " --router http://10.0.0.7:8080 --key-file operator.key",
                "dandelionbeam " + name + " --json")
            .build();
    return callCommand(name, summary, help, arguments -> get(arguments, List.of(), "/" + name));
  }

  private Command explainCommand() {
    String summary = "show what was decided on a request, and why";
    HelpPage help =
        CallCommand.help(ClientFlags.CALL, "dandelionbeam explain REQUEST [FLAGS]")
            .paragraph(
                "Shows the steps of one request in order. REQUEST is the value of the X-Request-Id"
                    + " header of its response. A router remembers the last requests only.")
            .examples("dandelionbeam explain r-42 --key-file operator.key")
            .build();
    return new ExplainCommand(
        callCommand(
            "explain",
            summary,
            help,
            arguments ->
                get(arguments, List.of("REQUEST"), "/explain/" + encodedPositional(arguments, 0))));
  }

  private Command addressesCommand() {
    List<Flag> flags = List.of(ClientFlags.ROUTER, DOMAIN, ClientFlags.JSON);
    HelpPage help =
        CallCommand.help(flags, "dandelionbeam addresses [FLAGS]")
            .paragraph(
                "Shows the addresses that a caller should use, best first, with their lifetime."
                    + " Needs no key.")
            .examples("dandelionbeam addresses --domain north")
            .build();
    return callCommand("addresses", "show the addresses for callers", help, this::addressesCall);
  }

  private Function<RouterClient, JsonNode> addressesCall(Arguments arguments) {
    CallCommand.requirePositionals(arguments, List.of());
    String query =
        arguments.text(DOMAIN).map(name -> "?domain=" + CallCommand.urlEncode(name)).orElse("");
    return client -> client.get("/v1/addresses" + query);
  }

  private Command domainCommand() {
    HelpPage help =
        CallCommand.help(
                ClientFlags.CALL,
                "dandelionbeam domain leave NAME [FLAGS]",
                "dandelionbeam domain return NAME [FLAGS]")
            .paragraph(
                "Takes a failure domain out of service for new requests, or brings it back."
                    + " Running requests end where they are. The command may be repeated.")
            .examples("dandelionbeam domain leave north", "dandelionbeam domain return north")
            .build();
    return callCommand(
        "domain", "take a failure domain out, or bring it back", help, this::domainCall);
  }

  private Function<RouterClient, JsonNode> domainCall(Arguments arguments) {
    CallCommand.requirePositionals(arguments, List.of("leave|return", "NAME"));
    List<String> words = arguments.positionals();
    if (!words.isEmpty() && !DOMAIN_ACTIONS.contains(words.get(0))) {
      arguments.addProblem(SettingProblem.ofValue("action", words.get(0), "leave or return"));
    }
    String path =
        ADMIN
            + "/domains/"
            + encodedPositional(arguments, 1)
            + "/"
            + encodedPositional(arguments, 0);
    return client -> client.post(path, JsonNodeFactory.instance.objectNode());
  }

  private Command callCommand(
      String name, String summary, HelpPage help, CallCommand.CallFactory call) {
    return CallCommand.of(name, summary, help, environment, call);
  }

  private static Function<RouterClient, JsonNode> get(
      Arguments arguments, List<String> words, String path) {
    CallCommand.requirePositionals(arguments, words);
    return client -> client.get(ADMIN + path);
  }

  private static String encodedPositional(Arguments arguments, int index) {
    List<String> words = arguments.positionals();
    return index < words.size() ? CallCommand.urlEncode(words.get(index)) : "";
  }
}
