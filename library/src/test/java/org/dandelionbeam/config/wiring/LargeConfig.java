package org.dandelionbeam.config.wiring;

import java.util.HexFormat;
import java.util.Random;

/** Generates the text of configurations of any size. */
public final class LargeConfig {
  private static final int DOMAINS = 7;
  private static final int MODELS = 37;

  private LargeConfig() {}

  public static String yaml(int teams, int engines, long seed) {
    Random random = new Random(seed);
    StringBuilder text = new StringBuilder("salt: \"0011223344556677\"\noperatorKeys:\n");
    text.append("  - \"").append(hash(random)).append("\"\n");
    text.append("regions:\n  - name: east\n  - name: west\ndomains:\n");
    for (int i = 0; i < DOMAINS; i++) {
      text.append("  - {name: d" + i + ", region: " + (i < 4 ? "east" : "west") + "}\n");
    }
    text.append("models:\n");
    for (int i = 0; i < MODELS; i++) {
      text.append("  - name: model-" + i + "\n");
    }
    text.append("services:\n  - name: chat\n    type: MODEL\n    costUnit: TOKENS\n    kinds:\n");
    text.append("      - {name: chat, method: POST, path: /v1/chat, idempotent: true}\n");
    text.append("upstreams:\n");
    for (int i = 0; i < engines; i++) {
      text.append("  - {name: engine-" + i + ", service: chat, domain: d" + i % DOMAINS);
      text.append(", host: 10." + i % DOMAINS + "." + i / 250 + "." + i % 250 + ", port: 8000");
      text.append(", models: [model-" + i % MODELS + ", model-" + (i + 1) % MODELS + "]");
      text.append(", window: 64, coldLimit: 4, checksOrders: true}\n");
    }
    text.append("teams:\n");
    for (int i = 0; i < teams; i++) {
      text.append("  - {name: team-" + i + ", weight: " + (1 + random.nextInt(40)));
      text.append(", maxQueued: 256, maxOpen: 256, keys: [\"" + hash(random) + "\"]}\n");
    }
    return text.toString();
  }

  private static String hash(Random random) {
    byte[] bytes = new byte[32];
    random.nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }
}
