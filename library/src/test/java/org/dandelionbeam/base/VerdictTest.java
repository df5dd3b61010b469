package org.dandelionbeam.base;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks which verdicts allow another attempt and how verdicts are combined. */
public class VerdictTest {

  @DataProvider
  Object[][] repeats() {
    return new Object[][] {
      {Verdict.NOT_RUN, false, true},
      {Verdict.NOT_RUN, true, true},
      {Verdict.MAY_HAVE_RUN, false, false},
      {Verdict.MAY_HAVE_RUN, true, true},
      {Verdict.RAN, false, false},
      {Verdict.RAN, true, false},
    };
  }

  @Test(dataProvider = "repeats")
  public void aRequestMayBeSentAgainOnlyWhenItIsSafe(
      Verdict verdict, boolean idempotent, boolean expected) {
    assertEquals(verdict.mayBeSentAgain(idempotent), expected);
  }

  @Test
  public void joinReturnsTheStrongerVerdict() {
    assertEquals(Verdict.NOT_RUN.join(Verdict.MAY_HAVE_RUN), Verdict.MAY_HAVE_RUN);
    assertEquals(Verdict.RAN.join(Verdict.NOT_RUN), Verdict.RAN);
  }
}
