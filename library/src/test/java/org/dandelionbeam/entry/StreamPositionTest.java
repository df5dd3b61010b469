package org.dandelionbeam.entry;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.SplittableRandom;
import org.dandelionbeam.base.RequestId;
import org.dandelionbeam.base.TeamId;
import org.dandelionbeam.base.UpstreamId;
import org.testng.annotations.Test;

public class StreamPositionTest {
  private static final byte[] KEY = "fleet".getBytes(StandardCharsets.UTF_8);
  private static final TeamId TEAM = TeamId.of(4);
  private static final StreamPosition POSITION =
      new StreamPosition(UpstreamId.of(12), RequestId.of("abc-1"), 7);
  private static final String TEXT = POSITION.prefix(KEY, TEAM) + 7;

  @Test
  public void parseReadsWhatThePrefixAndTheOffsetSay() {
    assertEquals(StreamPosition.parse(TEXT, KEY, TEAM), Optional.of(POSITION));
  }

  @Test
  public void parseRefusesAnotherTeamAndAnotherFleet() {
    assertEquals(StreamPosition.parse(TEXT, KEY, TeamId.of(5)), Optional.empty());
    assertEquals(StreamPosition.parse(TEXT, new byte[] {1}, TEAM), Optional.empty());
  }

  @Test
  public void parseRefusesEveryChangeOfOneCharacterBeforeTheOffset() {
    SplittableRandom random = new SplittableRandom(5);
    for (int run = 0; run < 2_000; run++) {
      StringBuilder changed = new StringBuilder(TEXT);
      int at = random.nextInt(TEXT.lastIndexOf('.'));
      char other = (char) ('!' + random.nextInt(90));
      if (other == TEXT.charAt(at)) {
        continue;
      }
      changed.setCharAt(at, other);
      assertEquals(StreamPosition.parse(changed.toString(), KEY, TEAM), Optional.empty());
    }
  }
}
