package org.dandelionbeam.daemon.bench;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.dandelionbeam.daemon.Arguments;
import org.dandelionbeam.daemon.Command;
import org.dandelionbeam.daemon.ExitStatus;
import org.dandelionbeam.daemon.Flag;
import org.dandelionbeam.daemon.HelpPage;

/** Command that runs the benchmarks and compares their figures with targets. */
public final class BenchCommand implements Command {
  private static final Flag SUITE =
      Flag.of("suite", "NAME", "Suite to run; all of them if not given.");
  private static final Flag OUT =
      Flag.of("out", "DIRECTORY", "Directory for figures.csv and summary.json.");

  private final Map<String, Supplier<List<Figure>>> suites = new LinkedHashMap<>();

  private BenchCommand() {
    suites.put("relay", RelayBench::run);
    suites.put("control", ControlBench::run);
    suites.put("failover", FailoverBench::run);
    suites.put("domain", DomainBench::run);
    suites.put("drain", DrainBench::run);
  }

  /**
   * Returns the command.
   *
   * @return the command
   */
  public static BenchCommand create() {
    return new BenchCommand();
  }

  @Override
  public String name() {
    return "bench";
  }

  @Override
  public String summary() {
    return "measure the parts of the fleet";
  }

  @Override
  public String help() {
    return HelpPage.builder("dandelionbeam bench [FLAGS]")
        .paragraph(
            "Measures the parts of the fleet in this process, on loopback, and prints each figure"
                + " with its target. Suites: "
                + String.join(", ", suites.keySet())
                + ".")
        .flags(List.of(SUITE, OUT))
        .examples("dandelionbeam bench --suite relay --out target/bench")
        .status(ExitStatus.OK, "every figure meets its target")
        .status(ExitStatus.FAILED, "a figure misses its target")
        .status(ExitStatus.USAGE, "the flags are wrong")
        .build()
        .text();
  }

  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    Arguments arguments = Arguments.parse(List.of(SUITE, OUT), args, Map.of());
    Optional<String> suite = arguments.text(SUITE);
    suite
        .filter(name -> !suites.containsKey(name))
        .ifPresent(
            name ->
                arguments.addInvalidValue(
                    SUITE, name, "one of " + String.join(", ", suites.keySet())));
    if (!arguments.problems().isEmpty()) {
      arguments.problems().forEach(problem -> err.println(problem.message()));
      return ExitStatus.USAGE.status();
    }
    List<Figure> figures = new ArrayList<>();
    suites.forEach(
        (name, measure) -> {
          if (suite.isEmpty() || suite.get().equals(name)) {
            List<Figure> measured = measure.get();
            measured.forEach(figure -> out.println(BenchReport.formatLine(figure)));
            figures.addAll(measured);
          }
        });
    arguments.text(OUT).ifPresent(directory -> BenchReport.write(Path.of(directory), figures));
    boolean allHold = figures.stream().allMatch(Figure::holds);
    return (allHold ? ExitStatus.OK : ExitStatus.FAILED).status();
  }
}
