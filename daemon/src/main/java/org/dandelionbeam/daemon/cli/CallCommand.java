package org.dandelionbeam.daemon.cli;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.dandelionbeam.daemon.Arguments;
import org.dandelionbeam.daemon.Command;
import org.dandelionbeam.daemon.ExitStatus;
import org.dandelionbeam.daemon.Flag;
import org.dandelionbeam.daemon.HelpPage;
import org.dandelionbeam.daemon.SettingProblem;

/** Operator command that makes one call to a router and prints the response. */
final class CallCommand implements Command {
  private final String name;
  private final String summary;
  private final HelpPage help;
  private final Map<String, String> environment;
  private final CallFactory callFactory;

  private CallCommand(
      String name,
      String summary,
      HelpPage help,
      Map<String, String> environment,
      CallFactory call) {
    this.name = name;
    this.summary = summary;
    this.help = help;
    this.environment = environment;
    this.callFactory = call;
  }

  static CallCommand of(
      String name,
      String summary,
      HelpPage help,
      Map<String, String> environment,
      CallFactory call) {
    return new CallCommand(
        requireNonNull(name, "name"),
        requireNonNull(summary, "summary"),
        requireNonNull(help, "help"),
        Map.copyOf(environment),
        requireNonNull(call, "call"));
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public String summary() {
    return summary;
  }

  @Override
  public String help() {
    return help.text();
  }

  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    ClientSession session = ClientSession.of(help.flags(), args, environment, out, err);
    Function<RouterClient, JsonNode> request = callFactory.create(session.arguments());
    boolean needsKey = help.flags().contains(ClientFlags.KEY_FILE);
    ExitStatus status =
        needsKey ? session.callAsOperator(request) : session.callWithoutKey(request);
    return status.status();
  }

  /** Records a problem for each missing or additional positional argument. */
  static void requirePositionals(Arguments arguments, List<String> names) {
    List<String> words = arguments.positionals();
    for (int i = words.size(); i < names.size(); i++) {
      arguments.addProblem(new SettingProblem(names.get(i), "nothing", "a value"));
    }
    for (String word : words.subList(Math.min(names.size(), words.size()), words.size())) {
      arguments.addProblem(SettingProblem.ofValue("argument", word, "no further argument"));
    }
  }

  /** Percent-encodes a value for use in a path or query. */
  static String urlEncode(String word) {
    return URLEncoder.encode(word, StandardCharsets.UTF_8).replace("+", "%20");
  }

  /** Returns a builder with the exit statuses of a call and the variable for the operator key. */
  static HelpPage.Builder help(List<Flag> flags, String... usage) {
    HelpPage.Builder builder =
        HelpPage.builder(usage)
            .flags(flags)
            .status(ExitStatus.OK, "the router answered")
            .status(ExitStatus.FAILED, "the router refused the call or could not be reached")
            .status(ExitStatus.USAGE, "the arguments are wrong; nothing was sent");
    return flags.contains(ClientFlags.KEY_FILE)
        ? builder.variable(ClientFlags.OPERATOR_KEY, "the operator key, if there is no file")
        : builder;
  }

  /** Creates the call of a command from its arguments. */
  @FunctionalInterface
  interface CallFactory {

    /** Returns the call; it is not made if the arguments have problems. */
    Function<RouterClient, JsonNode> create(Arguments arguments);
  }
}
