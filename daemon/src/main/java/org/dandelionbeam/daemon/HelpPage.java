package org.dandelionbeam.daemon;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collector;
import java.util.stream.Collectors;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;

/**
 * Help text of a command.
 *
 * @param usage synopses of the command with its arguments, one line each
 * @param paragraphs what the command does
 * @param flags its flags
 * @param variables environment variables that belong to no flag, each with its meaning
 * @param examples command lines to copy
 * @param statuses exit statuses with their meaning
 */
public record HelpPage(
    List<String> usage,
    List<String> paragraphs,
    List<Flag> flags,
    List<String> variables,
    List<String> examples,
    List<String> statuses) {
  private static final int WIDTH = 100;
  private static final String INDENT = "    ";
  private static final Collector<CharSequence, ?, String> LINES =
      Collectors.joining(System.lineSeparator());

  /** Copies the lists. */
  public HelpPage {
    usage = List.copyOf(usage);
    paragraphs = List.copyOf(paragraphs);
    flags = List.copyOf(flags);
    variables = List.copyOf(variables);
    examples = List.copyOf(examples);
    statuses = List.copyOf(statuses);
  }

  /**
   * Returns a builder.
   *
   * @param usage synopses of the command with its arguments, one for each form
   * @return a builder
   */
  public static Builder builder(String... usage) {
    return new Builder(List.of(usage));
  }

  /**
   * Formats the help text.
   *
   * @return lines of text
   */
  public String text() {
    StringBuilder text = new StringBuilder();
    TextHelpAppendable page = new TextHelpAppendable(text);
    page.setMaxWidth(WIDTH);
    page.setLeftPad(0);
    page.setIndent(0);
    try {
      appendSection(text, "Usage", usage);
      for (String paragraph : paragraphs) {
        page.appendParagraph(paragraph);
      }
      appendFlags(page);
      appendSection(text, "Environment", variables);
      appendSection(text, "Examples", examples);
      appendSection(text, "Exit status", statuses);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return text.toString().lines().map(String::stripTrailing).collect(LINES).stripTrailing();
  }

  private void appendFlags(TextHelpAppendable page) throws IOException {
    if (flags.isEmpty()) {
      return;
    }
    List<Option> options = flags.stream().map(Flag::toOption).toList();
    page.appendParagraph("Flags");
    page.appendTable(HelpFormatter.builder().setShowSince(false).get().getTableDefinition(options));
  }

  private static void appendSection(StringBuilder text, String title, List<String> lines) {
    if (!lines.isEmpty()) {
      text.append(title).append(System.lineSeparator());
      lines.forEach(line -> text.append(INDENT).append(line).append(System.lineSeparator()));
      text.append(System.lineSeparator());
    }
  }

  /** Builder of {@link HelpPage}. */
  public static final class Builder {
    private final List<String> usage;
    private final List<String> paragraphs = new ArrayList<>();
    private final List<String> variables = new ArrayList<>();
    private final List<String> examples = new ArrayList<>();
    private final List<String> statuses = new ArrayList<>();
    private List<Flag> flags = List.of();

    private Builder(List<String> usage) {
      this.usage = usage;
    }

    /**
     * Adds a paragraph.
     *
     * @param text what the command does
     * @return this builder
     */
    public Builder paragraph(String text) {
      paragraphs.add(requireNonNull(text, "text"));
      return this;
    }

    /**
     * Sets the flags.
     *
     * @param value the flags
     * @return this builder
     */
    public Builder flags(List<Flag> value) {
      flags = value;
      return this;
    }

    /**
     * Adds an environment variable that belongs to no flag.
     *
     * @param variable its name
     * @param meaning what it holds
     * @return this builder
     */
    public Builder variable(String variable, String meaning) {
      variables.add(variable + "  " + meaning);
      return this;
    }

    /**
     * Adds examples.
     *
     * @param lines command lines
     * @return this builder
     */
    public Builder examples(String... lines) {
      examples.addAll(List.of(lines));
      return this;
    }

    /**
     * Adds an exit status.
     *
     * @param status the status
     * @param meaning when the command exits with it
     * @return this builder
     */
    public Builder status(ExitStatus status, String meaning) {
      statuses.add(status.status() + "  " + meaning);
      return this;
    }

    /**
     * Builds the page.
     *
     * @return the page
     */
    public HelpPage build() {
      return new HelpPage(usage, paragraphs, flags, variables, examples, statuses);
    }
  }
}
