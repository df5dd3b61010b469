package org.dandelionbeam.review;

/** What the cases share: exit statuses, the switch of the disruption, another writer's entry. */
final class Case {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  static final String FOREIGN_KEY = "servers/i-0badc0de";

  /**
   * An entry whose writer states in {@code coldRemainingMs} a text, the Unix time in nanoseconds
   * until which its engine is cold, where engines write a number.
   */
  static final String FOREIGN_ENTRY =
      "{\"backend\":\""
          + Deployment.SERVICE
          + "\",\"address\":\"127.0.3.1:9\",\"zone\":\"zon-utara\",\"version\":\"v1\",\"slots\":6,"
          + "\"state\":\"ready\",\"coldRemainingMs\":\"1764957600000000000\",\"sequence\":1}";

  private Case() {}

  /** Tells whether the disruption shall come; {@code TROUBLE=0} leaves it out. */
  static boolean hasTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }
}
