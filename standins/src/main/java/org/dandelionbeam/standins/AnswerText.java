package org.dandelionbeam.standins;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.zip.CRC32;

/**
 * Generates and checks the deterministic answer of an engine to a prompt.
 *
 * <p>The first token is the checksum of the prompt and the last token is the checksum of all tokens
 * before it, so a reader can verify that a text is the complete answer to its own prompt.
 */
public final class AnswerText {
  private static final int MIN_TOKENS = 2;
  private static final int MIN_PERCENT = 25;
  private static final int PERCENT = 100;
  private static final List<String> WORDS =
      List.of(
          "seats", "open", "the", "camp", "carol", "door", "form", "note", "row", "list", "time",
          "hall", "is", "at", "for", "and");

  private AnswerText() {}

  /**
   * Returns the tokens of an answer.
   *
   * @param prompt the prompt
   * @param seed seed of the engine
   * @param maxTokens largest number of tokens that the caller allows
   * @return 25 to 100 percent of {@code maxTokens} tokens, and at least 2
   */
  public static List<String> tokens(String prompt, long seed, int maxTokens) {
    String checksum = checksum(prompt);
    SplittableRandom random = new SplittableRandom(seed ^ Long.parseLong(checksum, 16));
    int percent = random.nextInt(MIN_PERCENT, PERCENT + 1);
    int count = Math.max(MIN_TOKENS, (int) ((long) maxTokens * percent / PERCENT));
    List<String> tokens = new ArrayList<>(count);
    tokens.add(checksum + " ");
    for (int i = 2; i < count; i++) {
      tokens.add(WORDS.get(random.nextInt(WORDS.size())) + " ");
    }
    tokens.add(checksum(String.join("", tokens)));
    return tokens;
  }

  /**
   * Tells whether a text is the complete answer to a prompt.
   *
   * @param prompt the prompt
   * @param text the received text
   * @return false if it answers another prompt or if a token is missing, repeated or out of order
   */
  public static boolean isWhole(String prompt, String text) {
    int last = text.lastIndexOf(' ') + 1;
    return text.startsWith(checksum(prompt) + " ")
        && text.substring(last).equals(checksum(text.substring(0, last)));
  }

  /**
   * Returns the CRC-32 of a text.
   *
   * @param text any text
   * @return 8 hexadecimal digits
   */
  public static String checksum(String text) {
    CRC32 crc = new CRC32();
    crc.update(text.getBytes(StandardCharsets.UTF_8));
    return String.format("%08x", crc.getValue());
  }
}
