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
 * Log lines of one request in order of time, with the state of the routers that handled it.
 *
 * <p>A router writes all lines of a request when it ends. The time of each event is therefore
 * computed from the time of writing and the time since arrival that each line holds.
 */
final class RequestTimeline {
  private static final String START_EVENT = "started";
  private static final String END_EVENT = "finished";

  /** State changes that affect most requests; the last of each before the end is shown. */
  private static final List<String> STATE_EVENTS =
      List.of("configuration", "store_lost", "store_regained", "reloaded", "leaving");

  private static final Pattern UPSTREAM_FIELD = Pattern.compile("upstream=(\\S+)");

  private final String request;
  private final List<LogLine> steps = new ArrayList<>();
  private final List<LogLine> stateChanges = new ArrayList<>();
  private int truncatedLines;
  private int unrelatedLines;

  RequestTimeline(String request) {
    this.request = requireNonNull(request, "request");
  }

  /** Adds the next line of a log file. */
  void add(String text) {
    LogLine.ParseResult reading = LogLine.parse(text);
    if (reading instanceof LogLine.ParseResult.Parsed read) {
      add(read.line());
    } else if (reading instanceof LogLine.ParseResult.Truncated) {
      truncatedLines++;
    } else if (!text.isBlank()) {
      unrelatedLines++;
    }
  }

  private void add(LogLine line) {
    if (line.request().isEmpty()) {
      stateChanges.add(line);
    } else if (line.request().get().equals(request)) {
      steps.add(line);
    }
  }

  /** Returns whether no line of the request was found. */
  boolean isEmpty() {
    return steps.isEmpty();
  }

  /** Returns warnings on truncated lines, lines of other programs and a missing end. */
  List<String> warnings() {
    List<String> remarks = new ArrayList<>();
    if (truncatedLines > 0) {
      remarks.add(truncatedLines + " lines are truncated and were skipped");
    }
    if (unrelatedLines > 0) {
      remarks.add(unrelatedLines + " lines were not written by a router and were skipped");
    }
    boolean ended = steps.stream().anyMatch(step -> step.event().equals(END_EVENT));
    if (!isEmpty() && !ended) {
      remarks.add("the end of the request is missing; the file may be truncated");
    }
    return remarks;
  }

  /** Returns the state of each router, then the events of the request, a line each. */
  List<String> lines() {
    List<String> lines = new ArrayList<>();
    for (String router : routers()) {
      stateOf(router).map(this::stateText).forEach(lines::add);
    }
    steps.stream()
        .sorted(Comparator.comparingDouble(this::eventTimeMs))
        .map(RequestTimeline::stepText)
        .forEach(lines::add);
    return lines;
  }

  private List<String> routers() {
    return steps.stream().map(LogLine::router).distinct().toList();
  }

  private Stream<LogLine> stateOf(String router) {
    double end = steps.stream().mapToDouble(LogLine::writtenMs).max().orElse(0);
    List<LogLine> changes = stateChangesSinceStart(router, end);
    Stream<LogLine> general =
        STATE_EVENTS.stream()
            .flatMap(event -> lastMatching(changes, change -> change.event().equals(event)));
    Stream<LogLine> ofUpstreams =
        upstreams().stream()
            .flatMap(id -> lastMatching(changes, change -> change.hasFieldValue(id)));
    return Stream.concat(general, ofUpstreams).sorted(Comparator.comparingLong(LogLine::writtenMs));
  }

  /** Returns the state changes of a router up to a time, without those before its last start. */
  private List<LogLine> stateChangesSinceStart(String router, double endMs) {
    List<LogLine> changes = new ArrayList<>();
    for (LogLine change : stateChanges) {
      if (change.router().equals(router) && change.writtenMs() <= endMs) {
        if (change.event().equals(START_EVENT)) {
          changes.clear();
        }
        changes.add(change);
      }
    }
    return changes;
  }

  private static Stream<LogLine> lastMatching(List<LogLine> lines, Predicate<LogLine> wanted) {
    Optional<LogLine> last = lines.stream().filter(wanted).reduce((earlier, later) -> later);
    return last.stream();
  }

  private List<String> upstreams() {
    return steps.stream()
        .flatMap(step -> step.fields().stream())
        .flatMap(field -> UPSTREAM_FIELD.matcher(field).results())
        .map(match -> match.group(1))
        .distinct()
        .toList();
  }

  private double eventTimeMs(LogLine step) {
    double lastStep =
        steps.stream()
            .filter(other -> other.router().equals(step.router()))
            .mapToDouble(LogLine::sinceArrivalMs)
            .max()
            .orElse(0);
    return step.writtenMs() - lastStep + step.sinceArrivalMs();
  }

  private String stateText(LogLine change) {
    double before = steps.get(0).writtenMs() - change.writtenMs();
    return String.format(
        Locale.ROOT,
        "%10.1f ms before the end  %s  believed  %s %s",
        before,
        change.router(),
        change.event(),
        String.join(" ", change.fields()));
  }

  private static String stepText(LogLine step) {
    return String.format(
        Locale.ROOT,
        "%10.1f ms after arrival   %s  decided   %s %s",
        step.sinceArrivalMs(),
        step.router(),
        step.event(),
        String.join(" ", step.fields()));
  }
}
