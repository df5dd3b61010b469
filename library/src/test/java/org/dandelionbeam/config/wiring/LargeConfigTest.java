package org.dandelionbeam.config.wiring;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.dandelionbeam.config.ConfigDocument;
import org.dandelionbeam.config.ConfigReader.Result;
import org.dandelionbeam.config.InternTable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LargeConfigTest {
  private static final int MAX_VALUE_BYTES = 1 << 20;

  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{15, 12}, {610, 92}, {6_100, 920}};
  }

  @Test(dataProvider = "sizes")
  public void storedValueStaysBelowTheSizeLimitOfThePlatform(int teams, int engines) {
    JsonConfigCodec codec = new JsonConfigCodec();
    String text = LargeConfig.yaml(teams, engines, 1);
    ConfigDocument document = JsonConfigCodecTest.document(text, InternTable.empty());
    byte[] stored = codec.encode(document);
    String changed = text.replaceFirst("name: team-7, weight: \\d+", "name: team-7, weight: 41");
    byte[] next = codec.encode(JsonConfigCodecTest.document(changed, document.table()));
    assertTrue(codec.decode(stored, 1) instanceof Result.Accepted);
    byte[] delta = codec.delta(stored, next).orElseThrow();
    assertEquals(codec.patch(stored, delta).orElseThrow(), next);
    assertTrue(delta.length < 300, "bytes " + delta.length);
    assertTrue(stored.length < MAX_VALUE_BYTES, "bytes " + stored.length);
  }
}
