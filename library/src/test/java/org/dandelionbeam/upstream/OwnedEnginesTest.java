package org.dandelionbeam.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.Collectors;
import org.dandelionbeam.base.UpstreamId;
import org.dandelionbeam.config.Configuration;
import org.dandelionbeam.config.Upstream;
import org.testng.annotations.Test;

/** Checks which engines a refresh finds, and how many engines it checks for it. */
public class OwnedEnginesTest {
  private static final int ENGINES = 920;

  private final TestOwnership ownership = new TestOwnership();
  private final Configuration configuration = TestEngines.of(true, new int[ENGINES]);

  private List<Integer> refresh(OwnedEngines engines) {
    return engines.refresh(configuration).stream()
        .map(Upstream::id)
        .map(UpstreamId::number)
        .sorted()
        .collect(Collectors.toList());
  }

  @Test
  public void refreshFindsOnlyOwnedModelEnginesWithFewLookupsWhenNothingChanged() {
    ownership.owned.add(UpstreamId.of(700));
    ownership.owned.add(UpstreamId.of(1_000));
    OwnedEngines engines = OwnedEngines.of(ownership);
    assertEquals(refresh(engines), List.of(700));
    int before = ownership.ownerLookups;
    assertEquals(refresh(engines), List.of(700));
    assertTrue(ownership.ownerLookups - before <= 40, "owner lookups in a round without changes");
    ownership.owned.clear();
    assertEquals(
        refresh(engines), List.of(), "an engine that is no longer owned is removed at once");
    ownership.owned.add(UpstreamId.of(3));
    ownership.epoch++;
    assertEquals(refresh(engines), List.of(3), "all engines are checked in a new epoch");
    ownership.owned.add(UpstreamId.of(4));
    for (int round = 0; round < ENGINES / 32 + 1; round++) {
      refresh(engines);
    }
    assertEquals(refresh(engines), List.of(3, 4), "each engine is checked in turn");
  }
}
