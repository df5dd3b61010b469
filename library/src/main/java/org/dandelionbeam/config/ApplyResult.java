package org.dandelionbeam.config;

import java.util.List;
import org.dandelionbeam.base.Verdict;

/** Outcome of an operator's request to apply a configuration. */
public sealed interface ApplyResult {

  /**
   * The configuration is in force, or equals the one that already was.
   *
   * @param revision revision of the configuration in force
   */
  record Accepted(long revision) implements ApplyResult {}

  /**
   * The configuration was accepted and has since been replaced by another change based on it.
   *
   * @param revision revision now in force
   */
  record Superseded(long revision) implements ApplyResult {}

  /**
   * The configuration is invalid; nothing changed.
   *
   * @param problems all errors of the configuration
   */
  record Refused(List<ConfigProblem> problems) implements ApplyResult {

    /** Copies the list. */
    public Refused {
      problems = List.copyOf(problems);
    }
  }

  /**
   * The change is based on a revision that is no longer in force; nothing changed.
   *
   * @param revision revision now in force
   * @param diff one line for each value that differs, from the configuration in force to the
   *     rejected one
   */
  record Conflict(long revision, List<String> diff) implements ApplyResult {

    /** Copies the list. */
    public Conflict {
      diff = List.copyOf(diff);
    }
  }

  /**
   * The platform store did not confirm the change in time.
   *
   * @param verdict {@code NOT_RUN} if nothing changed, else {@code MAY_HAVE_RUN}
   * @param detail description of the failure, for operators
   */
  record Unavailable(Verdict verdict, String detail) implements ApplyResult {}
}
