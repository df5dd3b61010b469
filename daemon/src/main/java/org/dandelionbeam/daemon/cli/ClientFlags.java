package org.dandelionbeam.daemon.cli;

import java.util.List;
import java.util.Set;
import org.dandelionbeam.daemon.Flag;

/** Flags and environment variables that the operator commands share. */
public final class ClientFlags {
  /** Environment variable that holds the operator key itself instead of a file name. */
  public static final String OPERATOR_KEY = Flag.VARIABLE_PREFIX + "OPERATOR_KEY";

  /** Base URI of the router to call. */
  public static final Flag ROUTER =
      Flag.of("router", "URI", "Router to call, such as http://10.0.0.7:8080; any one will do.")
          .withDefault("http://127.0.0.1:8080")
          .withVariable();

  /** File with the operator key. */
  public static final Flag KEY_FILE =
      Flag.of(
          "key-file",
          "FILE",
          "File with an operator key. Needed, unless the variable "
              + OPERATOR_KEY
              + " holds the key itself.");

  /** Switch that prints the response as JSON. */
  public static final Flag JSON = Flag.ofSwitch("json", "Print the response as JSON.");

  /** All environment variables of the operator commands. */
  public static final Set<String> VARIABLES = Set.of(OPERATOR_KEY, ROUTER.variable().orElseThrow());

  /** Flags of a command that calls a router with an operator key. */
  static final List<Flag> CALL = List.of(ROUTER, KEY_FILE, JSON);

  private ClientFlags() {}
}
