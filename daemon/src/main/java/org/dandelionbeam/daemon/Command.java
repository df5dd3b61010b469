package org.dandelionbeam.daemon;

import java.io.PrintStream;
import java.util.List;

/** A subcommand of the command line program. */
public interface Command {

  /**
   * Returns the name by which the command is called.
   *
   * @return the name in lower case
   */
  String name();

  /**
   * Returns the summary in the list of commands.
   *
   * @return one short sentence on what the command does
   */
  String summary();

  /**
   * Returns the text that {@code --help} prints.
   *
   * @return lines of text
   */
  String help();

  /**
   * Runs the command; the caller handles {@code --help}.
   *
   * @param args arguments after the name of the command
   * @param out standard output
   * @param err standard error
   * @return exit status
   */
  int run(List<String> args, PrintStream out, PrintStream err);
}
