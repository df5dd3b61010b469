package org.dandelionbeam.daemon.cli;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What routers logged of one request, in order of time, with what each of them believed then.
 *
 * <p>The lines of a request are written when it ends, so their times follow from the last one.
 */
final class RequestStory {
  private static final String FIRST_EVENT = "started";
  private static final String LAST_EVENT = "finished";

  /** The beliefs that decide on most requests; the last of each before the end is shown. */
  private static final List<String> BELIEFS =
      List.of("configuration", "store_lost", "store_regained", "reloaded", "leaving");

  private static final Pattern UPSTREAM = Pattern.compile("upstream=(\\S+)");

  private final String request;
  private final List<LogLine> steps = new ArrayList<>();
  private final List<LogLine> beliefs = new ArrayList<>();
  private int cutLines;
  private int foreignLines;

  RequestStory(String request) {
    this.request = requireNonNull(request, "request");
  }

  /** Takes the next line of a log. */
  void add(String text) {
    LogLine.Reading reading = LogLine.read(text);
    if (reading instanceof LogLine.Reading.Read read) {
      add(read.line());
    } else if (reading instanceof LogLine.Reading.Cut) {
      cutLines++;
    } else if (!text.isBlank()) {
      foreignLines++;
    }
  }

  private void add(LogLine line) {
    if (line.request().isEmpty()) {
      beliefs.add(line);
    } else if (line.request().get().equals(request)) {
      steps.add(line);
    }
  }

  /** Tells whether no line of the request was found. */
  boolean isEmpty() {
    return steps.isEmpty();
  }

  /** Returns remarks on the files: cut lines, lines of other programs, a missing end. */
  List<String> remarks() {
    List<String> remarks = new ArrayList<>();
    if (cutLines > 0) {
      remarks.add(cutLines + " lines are cut and were left out");
    }
    if (foreignLines > 0) {
      remarks.add(foreignLines + " lines are not a router's and were left out");
    }
    boolean ended = steps.stream().anyMatch(step -> step.event().equals(LAST_EVENT));
    if (!isEmpty() && !ended) {
      remarks.add("the end of the request is missing; the file may be cut");
    }
    return remarks;
  }

  /** Returns the story, a line for each step and belief. */
  List<String> lines() {
    List<String> lines = new ArrayList<>();
    for (String router : routers()) {
      beliefsOf(router).map(this::beliefText).forEach(lines::add);
    }
    steps.stream()
        .sorted(Comparator.comparingDouble(this::timeMs))
        .map(RequestStory::stepText)
        .forEach(lines::add);
    return lines;
  }

  private List<String> routers() {
    return steps.stream().map(LogLine::router).distinct().toList();
  }

  private Stream<LogLine> beliefsOf(String router) {
    double end = steps.stream().mapToDouble(LogLine::writtenMs).max().orElse(0);
    List<LogLine> known = sinceStart(router, end);
    Stream<LogLine> general =
        BELIEFS.stream().flatMap(event -> last(known, belief -> belief.event().equals(event)));
    Stream<LogLine> ofUpstreams =
        upstreams().stream().flatMap(id -> last(known, belief -> belief.names(id)));
    return Stream.concat(general, ofUpstreams).sorted(Comparator.comparingLong(LogLine::writtenMs));
  }

  /** What a router believed before it started anew does not count. */
  private List<LogLine> sinceStart(String router, double endMs) {
    List<LogLine> known = new ArrayList<>();
    for (LogLine belief : beliefs) {
      if (belief.router().equals(router) && belief.writtenMs() <= endMs) {
        if (belief.event().equals(FIRST_EVENT)) {
          known.clear();
        }
        known.add(belief);
      }
    }
    return known;
  }

  private static Stream<LogLine> last(List<LogLine> lines, Predicate<LogLine> wanted) {
    Optional<LogLine> last = lines.stream().filter(wanted).reduce((earlier, later) -> later);
    return last.stream();
  }

  private List<String> upstreams() {
    return steps.stream()
        .flatMap(step -> step.facts().stream())
        .flatMap(fact -> UPSTREAM.matcher(fact).results())
        .map(match -> match.group(1))
        .distinct()
        .toList();
  }

  private double timeMs(LogLine step) {
    double lastStep =
        steps.stream()
            .filter(other -> other.router().equals(step.router()))
            .mapToDouble(LogLine::sinceArrivalMs)
            .max()
            .orElse(0);
    return step.writtenMs() - lastStep + step.sinceArrivalMs();
  }

  private String beliefText(LogLine belief) {
    double before = steps.get(0).writtenMs() - belief.writtenMs();
    return String.format(
        Locale.ROOT,
        "%10.1f ms before the end  %s  believed  %s %s",
        before,
        belief.router(),
        belief.event(),
        String.join(" ", belief.facts()));
  }

  private static String stepText(LogLine step) {
    return String.format(
        Locale.ROOT,
        "%10.1f ms after arrival   %s  decided   %s %s",
        step.sinceArrivalMs(),
        step.router(),
        step.event(),
        String.join(" ", step.facts()));
  }
}
