package org.dandelionbeam.daemon.load;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.base.FleetException;

/** Command that generates a load, checks the responses and reports latencies. */
public final class LoadCommand {
  private static final int OK = 0;
  private static final int WRONG_ANSWERS = 1;
  private static final int BAD_INPUT = 2;

  private LoadCommand() {}

  /**
   * Runs the command.
   *
   * @param args flags after the name of the command
   * @param out receives the report
   * @param err receives errors
   * @return 0 if no response was wrong, 1 if one was, 2 if the flags or the mix are wrong
   */
  public static int run(List<String> args, PrintStream out, PrintStream err) {
    try {
      CommandLine line =
          new DefaultParser().parse(LoadOptions.options(), args.toArray(String[]::new));
      if (line.hasOption("help")) {
        help(out);
        return OK;
      }
      LoadOptions options = LoadOptions.of(line);
      return run(options, Mix.read(options.mixFile()), out);
    } catch (ParseException e) {
      return badInput(err, e.getMessage());
    } catch (FleetException e) {
      return badInput(err, e.getMessage());
    }
  }

  private static int run(LoadOptions options, Mix mix, PrintStream out) {
    LoadResults results = new LoadRun(options, mix).run();
    LoadReport report = new LoadReport(options, results);
    report.print(out);
    try {
      if (options.json().isPresent()) {
        Files.writeString(options.json().get(), report.json().toPrettyString());
      }
      if (options.plot().isPresent()) {
        LoadPlot.write(options.plot().get(), results.classes());
      }
    } catch (IOException e) {
      throw new FleetException(
          ErrorCode.INVALID_SETTING, "the report could not be written: " + e.getMessage());
    }
    return results.count(Outcome.Type.WRONG) == 0 ? OK : WRONG_ANSWERS;
  }

  private static int badInput(PrintStream err, String detail) {
    detail.lines().forEach(line -> err.println(ErrorCode.INVALID_SETTING + " " + line));
    return BAD_INPUT;
  }

  private static void help(PrintStream out) {
    try {
      HelpFormatter.builder()
          .setHelpAppendable(new TextHelpAppendable(out))
          .setShowSince(false)
          .get()
          .printHelp(
              "dandelionbeam load --address HOST:PORT --mix FILE [flags]",
              "Starts requests at a fixed rate against loopback addresses, checks every response"
                  + " and reports latencies per team and class.",
              LoadOptions.options(),
              "Exit status: 0 no wrong response, 1 a wrong response, 2 wrong flags or mix.",
              false);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
