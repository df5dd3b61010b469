package org.dandelionbeam.daemon;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.dandelionbeam.daemon.bench.BenchCommand;
import org.dandelionbeam.daemon.capacity.CapacityCommand;
import org.dandelionbeam.daemon.cli.ClientCommands;
import org.dandelionbeam.daemon.load.LoadCommand;
import org.dandelionbeam.node.wiring.RouterNode;

/** Creates the subcommands of the command line program. */
final class Commands {
  private Commands() {}

  /** Returns all commands in the order in which the general help lists them. */
  static List<Command> all(Map<String, String> environment) {
    List<Command> commands = new ArrayList<>(List.of(new DemoCommand(), router(environment)));
    commands.addAll(ClientCommands.all(environment));
    commands.add(new StandInsCommand());
    commands.add(load());
    commands.add(BenchCommand.create());
    commands.add(CapacityCommand.create());
    return List.copyOf(commands);
  }

  private static Command router(Map<String, String> environment) {
    return RouterCommand.of(environment, RouterNode::start);
  }

  private static Command load() {
    return new DelegatedCommand(
        "load", "put a load on addresses and report", Commands::loadHelp, LoadCommand::run);
  }

  private static String loadHelp() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    LoadCommand.run(List.of("--help"), out, out);
    return bytes.toString(StandardCharsets.UTF_8).stripTrailing();
  }
}
