package org.dandelionbeam.daemon.capacity;

import java.util.Locale;

/** Fills the tables of the capacity page from slopes. */
public final class CapacityPage {
  private static final String[] SECTIONS = {"slopes", "budget", "platform"};
  private static final double[] CLAIMS_PER_SECOND = {10, 50, 150};

  private final Slopes slopes;
  private final CapacityModel model;

  private CapacityPage(Slopes slopes) {
    this.slopes = slopes;
    model = new CapacityModel(slopes);
  }

  /**
   * Returns a page whose tables are computed from slopes.
   *
   * @param slopes the measured slopes
   * @return the page
   */
  public static CapacityPage of(Slopes slopes) {
    return new CapacityPage(slopes);
  }

  /**
   * Replaces the tables between the markers of a page.
   *
   * @param page text with a start and an end marker for each table
   * @return the text with the tables of these slopes
   * @throws IllegalArgumentException if a marker is missing
   */
  public String fill(String page) {
    String filled = page;
    for (String section : SECTIONS) {
      filled = fill(filled, section);
    }
    return filled;
  }

  private String fill(String page, String section) {
    String start = "<!-- " + section + " -->\n";
    String end = "<!-- end of " + section + " -->";
    int from = page.indexOf(start);
    int to = page.indexOf(end);
    if (from < 0 || to < from) {
      throw new IllegalArgumentException(
          "the page lacks the start or end marker of section " + section);
    }
    return page.substring(0, from + start.length()) + table(section) + page.substring(to);
  }

  private String table(String section) {
    return switch (section) {
      case "slopes" -> slopeTable();
      case "budget" -> budgetTable();
      default -> platformTable();
    };
  }

  private String slopeTable() {
    StringBuilder text =
        new StringBuilder("| slope | value | unit | measured at | fit | source |\n");
    text.append("| --- | --- | --- | --- | --- | --- |\n");
    for (Slope slope : slopes.all()) {
      text.append(
          "| `%s` | %s | %s | %s | %s | %s |%n"
              .formatted(
                  slope.id(),
                  number(slope.value()),
                  slope.unit(),
                  slope.range(),
                  slope.fit(),
                  slope.source()));
    }
    return text.toString();
  }

  private String budgetTable() {
    StringBuilder text =
        new StringBuilder("| role | messages/s | bytes/s | core % | memory MiB |\n");
    text.append("| --- | --- | --- | --- | --- |\n");
    model.controlCosts().forEach(line -> text.append(row(line)));
    RoleCost sum = model.totalControlCost();
    text.append(row(sum));
    text.append(
        "| budget | - | %s | %s | %s |%n"
            .formatted(
                number(DesignSize.BUDGET_BYTES_PER_SECOND),
                number(DesignSize.BUDGET_CORE_PERCENT),
                number(DesignSize.BUDGET_MEMORY_MEBIBYTES)));
    text.append(
        "| verdict | - | %s | %s | %s |%n"
            .formatted(
                verdict(sum.bytes(), DesignSize.BUDGET_BYTES_PER_SECOND),
                verdict(sum.corePercent(), DesignSize.BUDGET_CORE_PERCENT),
                verdict(sum.memoryMebibytes(), DesignSize.BUDGET_MEMORY_MEBIBYTES)));
    text.append("\nRelaying tokens, which is not control, takes a further ");
    text.append(number(model.relayCorePercent()));
    text.append(" % of a core of each node.\n");
    return text.toString();
  }

  private String platformTable() {
    StringBuilder text =
        new StringBuilder("| claims/s in the fleet | writes/s | reads and watches/s | verdict |\n");
    text.append("| --- | --- | --- | --- |\n");
    for (double claims : CLAIMS_PER_SECOND) {
      double writes = model.platformWrites(claims);
      double reads = model.platformReads(claims);
      String verdict =
          verdict(writes, DesignSize.PLATFORM_WRITES_PER_SECOND)
              + " of writes, "
              + verdict(reads, DesignSize.PLATFORM_READS_PER_SECOND)
              + " of reads";
      text.append(
          "| %s | %s | %s | %s |%n"
              .formatted(number(claims), number(writes), number(reads), verdict));
    }
    text.append("\nAt ");
    text.append(number(model.maxClaimsPerSecond()));
    text.append(" claims/s the writes are used up.\n");
    return text.toString();
  }

  private static String row(RoleCost cost) {
    return "| %s | %s | %s | %s | %s |%n"
        .formatted(
            cost.role(),
            number(cost.messages()),
            number(cost.bytes()),
            number(cost.corePercent()),
            number(cost.memoryMebibytes()));
  }

  private static String verdict(double value, double bound) {
    return value <= bound ? "within" : "**misses by " + number(value - bound) + "**";
  }

  private static String number(double value) {
    if (value == 0) {
      return "0";
    }
    double size = Math.abs(value);
    String form = size >= 100 ? "%,.0f" : size >= 10 ? "%.1f" : size >= 0.1 ? "%.2f" : "%.4f";
    return String.format(Locale.ROOT, form, value);
  }
}
