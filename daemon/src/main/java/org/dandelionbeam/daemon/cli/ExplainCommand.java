package org.dandelionbeam.daemon.cli;

import static java.util.Objects.requireNonNull;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.dandelionbeam.base.ErrorCode;
import org.dandelionbeam.daemon.Arguments;
import org.dandelionbeam.daemon.Command;
import org.dandelionbeam.daemon.ExitStatus;
import org.dandelionbeam.daemon.Flag;
import org.dandelionbeam.daemon.HelpPage;
import org.dandelionbeam.daemon.SettingProblem;

/**
 * Command that shows the decisions on one request, from the memory of a router or from log files.
 *
 * @param fromRouter command that queries a router, used if no log file is given
 */
record ExplainCommand(Command fromRouter) implements Command {
  private static final Flag LOG =
      Flag.of("log", "FILE", "Log of a router, or - for standard input. May be repeated.")
          .repeatable();

  ExplainCommand {
    requireNonNull(fromRouter, "fromRouter");
  }

  @Override
  public String name() {
    return fromRouter.name();
  }

  @Override
  public String summary() {
    return fromRouter.summary();
  }

  @Override
  public String help() {
    String page =
        HelpPage.builder("dandelionbeam explain --log FILE [--log FILE ...] REQUEST")
            .paragraph(
                "Reads logs instead of querying a router: each decision on the request in order of"
                    + " time, and the state that its router had recorded.")
            .flags(List.of(LOG))
            .examples(
                "dandelionbeam explain --log router-1.log --log router-2.log 768de3154d07a784")
            .status(ExitStatus.OK, "the request was found")
            .status(ExitStatus.FAILED, "no line of the request was found, or a file can't be read")
            .status(ExitStatus.USAGE, "the arguments are wrong")
            .build()
            .text();
    return fromRouter.help() + System.lineSeparator() + System.lineSeparator() + page;
  }

  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    boolean readsLogs = args.stream().anyMatch(arg -> arg.equals("--log") || isLogFlag(arg));
    return readsLogs ? runOnLogs(args, out, err) : fromRouter.run(args, out, err);
  }

  private static boolean isLogFlag(String arg) {
    return arg.startsWith("--log=");
  }

  private static int runOnLogs(List<String> args, PrintStream out, PrintStream err) {
    Arguments arguments = Arguments.parse(List.of(LOG), args, Map.of());
    List<String> words = arguments.positionals();
    if (words.size() != 1) {
      arguments.addProblem(
          new SettingProblem("REQUEST", words.size() + " values", "the id of one request"));
    }
    if (!arguments.problems().isEmpty()) {
      arguments.problems().forEach(problem -> err.println(problem.message()));
      return ExitStatus.USAGE.status();
    }
    RequestTimeline timeline = new RequestTimeline(words.get(0));
    for (String file : arguments.texts(LOG)) {
      try (Stream<String> lines = linesOf(file)) {
        lines.forEach(timeline::add);
      } catch (IOException e) {
        err.println(ErrorCode.INVALID_SETTING + ": " + file + " can't be read: " + e);
        return ExitStatus.FAILED.status();
      }
    }
    return print(timeline, words.get(0), out, err);
  }

  /** Reads lines as UTF-8; replaces malformed bytes, which a crash can leave, and reads on. */
  private static Stream<String> linesOf(String file) throws IOException {
    CharsetDecoder decoder =
        StandardCharsets.UTF_8
            .newDecoder()
            .onMalformedInput(CodingErrorAction.REPLACE)
            .onUnmappableCharacter(CodingErrorAction.REPLACE);
    InputStream in = file.equals("-") ? System.in : Files.newInputStream(Path.of(file));
    BufferedReader reader = new BufferedReader(new InputStreamReader(in, decoder));
    return reader.lines().onClose(() -> close(reader));
  }

  private static void close(Reader reader) {
    try {
      reader.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static int print(
      RequestTimeline timeline, String request, PrintStream out, PrintStream err) {
    timeline.warnings().forEach(warning -> err.println("note: " + warning));
    if (timeline.isEmpty()) {
      err.println(
          ErrorCode.NOT_FOUND
              + ": no line of request "
              + request
              + " (give the logs of all routers; of successful requests, one in a hundred is"
              + " logged)");
      return ExitStatus.FAILED.status();
    }
    timeline.lines().forEach(out::println);
    return ExitStatus.OK.status();
  }
}
