package org.dandelionbeam.daemon;

import java.util.List;

/** Flags of the {@code router} command. */
final class RouterFlags {
  static final Flag HOST =
      Flag.of("host", "IP", "IPv4 address of this VM; callers and peers connect to it.")
          .withDefault("127.0.0.1")
          .withVariable();
  static final Flag CALLER_PORT =
      Flag.of("caller-port", "PORT", "TCP port for callers and operators.")
          .withDefault("8080")
          .withVariable();
  static final Flag PEER_PORT =
      Flag.of("peer-port", "PORT", "TCP port for other routers.")
          .withDefault("8081")
          .withVariable();
  static final Flag DOMAIN =
      Flag.of("domain", "NAME", "Failure domain of this VM, as in the configuration. Required.")
          .withVariable();
  static final Flag SEED_PEER =
      Flag.of(
              "seed-peer",
              "IP:PORT",
              "Peer address of another router to contact at start; repeat it or use commas.")
          .repeatable()
          .withVariable();
  static final Flag PLATFORM_URI =
      Flag.of("platform-uri", "URI", "Base URI of the platform's key-value store. Required.")
          .withVariable();
  static final Flag FLEET_KEY_FILE =
      Flag.of(
              "fleet-key-file",
              "FILE",
              "File with the secret that all routers share, at least 16 bytes. Required, unless the"
                  + " variable "
                  + RouterSettingsReader.FLEET_KEY
                  + " holds the secret itself.")
          .withVariable();
  static final Flag LOG_FORMAT =
      Flag.of("log-format", "FORMAT", "Format of the log on standard error, plain or json.")
          .withDefault("plain")
          .withVariable();
  static final Flag LOG_LEVEL =
      Flag.of("log-level", "LEVEL", "Lowest level to log: error, warn, info, debug or trace.")
          .withDefault("info")
          .withVariable();
  static final Flag DRAIN_TIMEOUT =
      Flag.of(
              "drain-timeout",
              "SECONDS",
              "Longest time that running requests get after SIGTERM or SIGINT, from 1 to 3600"
                  + " seconds; the process ends at most 10 seconds later. Keep it above the"
                  + " request deadline of the configuration.")
          .withDefault("75")
          .withVariable();
  static final Flag RANDOM_SEED =
      Flag.of("random-seed", "NUMBER", "Seed of the random number generator, to repeat a run.")
          .withVariable();

  static final List<Flag> ALL =
      List.of(
          HOST,
          CALLER_PORT,
          PEER_PORT,
          DOMAIN,
          SEED_PEER,
          PLATFORM_URI,
          FLEET_KEY_FILE,
          LOG_FORMAT,
          LOG_LEVEL,
          DRAIN_TIMEOUT,
          RANDOM_SEED);

  private RouterFlags() {}
}
