package org.dandelionbeam.daemon.capacity;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.dandelionbeam.daemon.Arguments;
import org.dandelionbeam.daemon.Command;
import org.dandelionbeam.daemon.ExitStatus;
import org.dandelionbeam.daemon.Flag;
import org.dandelionbeam.daemon.HelpPage;

/** Command that computes the tables of the capacity page from the file of slopes. */
public final class CapacityCommand implements Command {
  private static final Flag SLOPES =
      Flag.of("slopes", "FILE", "File of measured slopes.").withDefault("docs/capacity-slopes.csv");
  private static final Flag PAGE =
      Flag.of("page", "FILE", "Page whose tables are replaced.").withDefault("docs/CAPACITY.md");

  private CapacityCommand() {}

  /**
   * Returns the command.
   *
   * @return the command
   */
  public static CapacityCommand create() {
    return new CapacityCommand();
  }

  @Override
  public String name() {
    return "capacity";
  }

  @Override
  public String summary() {
    return "work out the capacity page from measured slopes";
  }

  @Override
  public String help() {
    return HelpPage.builder("dandelionbeam capacity [FLAGS]")
        .paragraph(
            "Replaces the tables of the capacity page by those that follow from the file of"
                + " slopes. Run bench, put its figures into the file, then run this.")
        .flags(List.of(SLOPES, PAGE))
        .examples("dandelionbeam capacity")
        .status(ExitStatus.OK, "the page is written")
        .status(ExitStatus.FAILED, "a file can't be read or written")
        .status(ExitStatus.USAGE, "the flags are wrong")
        .build()
        .text();
  }

  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    Arguments arguments = Arguments.parse(List.of(SLOPES, PAGE), args, Map.of());
    if (!arguments.problems().isEmpty()) {
      arguments.problems().forEach(problem -> err.println(problem.message()));
      return ExitStatus.USAGE.status();
    }
    Path page = Path.of(arguments.text(PAGE).orElseThrow());
    try {
      Slopes slopes = Slopes.read(Path.of(arguments.text(SLOPES).orElseThrow()));
      Files.writeString(page, CapacityPage.of(slopes).fill(Files.readString(page)));
      out.println("wrote " + page);
      return ExitStatus.OK.status();
    } catch (IOException | RuntimeException e) {
      err.println("cannot update the capacity page: " + e.getMessage());
      return ExitStatus.FAILED.status();
    }
  }
}
