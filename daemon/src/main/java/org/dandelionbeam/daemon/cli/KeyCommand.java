package org.dandelionbeam.daemon.cli;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.regex.Pattern;
import org.apache.commons.codec.binary.Hex;
import org.dandelionbeam.config.KeyHash;
import org.dandelionbeam.daemon.Command;
import org.dandelionbeam.daemon.ExitStatus;
import org.dandelionbeam.daemon.Flag;
import org.dandelionbeam.daemon.HelpPage;
import org.dandelionbeam.daemon.SettingProblem;

/** Command that generates a bearer key and its salted hash. */
final class KeyCommand implements Command {
  private static final Flag SALT =
      Flag.of(
          "salt",
          "HEX",
          "Salt of the configuration, 16 to 64 hexadecimal digits; a new one is made without it.");
  private static final Pattern SALT_PATTERN = Pattern.compile("([0-9a-f]{2}){8,32}");
  private static final int KEY_BYTES = 32;
  private static final int SALT_BYTES = 16;

  private final RandomGenerator random;

  private KeyCommand(RandomGenerator random) {
    this.random = random;
  }

  static KeyCommand of(RandomGenerator random) {
    return new KeyCommand(requireNonNull(random, "random"));
  }

  @Override
  public String name() {
    return "key";
  }

  @Override
  public String summary() {
    return "make a bearer key and its hash for the configuration";
  }

  @Override
  public String help() {
    return helpPage().text();
  }

  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    ClientSession session = ClientSession.of(helpPage().flags(), args, Map.of(), out, err);
    CallCommand.requirePositionals(session.arguments(), List.of("hash"));
    session.arguments().positionals().stream()
        .limit(1)
        .filter(word -> !word.equals("hash"))
        .forEach(
            word -> session.arguments().addProblem(SettingProblem.ofValue("action", word, "hash")));
    Optional<String> salt = session.arguments().text(SALT);
    salt.filter(text -> !SALT_PATTERN.matcher(text).matches())
        .ifPresent(
            text ->
                session
                    .arguments()
                    .addInvalidValue(
                        SALT, text, "16 to 64 hexadecimal digits in lower case, an even number"));
    if (!session.arguments().problems().isEmpty()) {
      return session.printProblems().status();
    }
    ObjectNode response =
        newKey(salt.orElseGet(() -> Hex.encodeHexString(randomBytes(SALT_BYTES))));
    boolean isRaw = session.arguments().has(ClientFlags.JSON);
    session.print(isRaw ? List.of(response.toPrettyString()) : JsonTextFormatter.lines(response));
    return ExitStatus.OK.status();
  }

  private ObjectNode newKey(String salt) {
    String key = Base64.getUrlEncoder().withoutPadding().encodeToString(randomBytes(KEY_BYTES));
    return JsonNodeFactory.instance
        .objectNode()
        .put("key", key)
        .put("salt", salt)
        .put("hash", KeyHash.of(salt, key).hash());
  }

  private byte[] randomBytes(int length) {
    byte[] bytes = new byte[length];
    random.nextBytes(bytes);
    return bytes;
  }

  private static HelpPage helpPage() {
    return HelpPage.builder("dandelionbeam key hash [FLAGS]")
        .paragraph(
            "Makes a new random key of 256 bits. Give the key to the team or operator, and put only"
                + " its hash into the configuration. All hashes of a configuration share its salt.")
        .flags(List.of(SALT, ClientFlags.JSON))
        .examples("dandelionbeam key hash --salt 00112233445566778899aabbccddeeff")
        .status(ExitStatus.OK, "the key was printed")
        .status(ExitStatus.USAGE, "the arguments are wrong")
        .build();
  }
}
