package org.dandelionbeam.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Which requests count as the same. */
public class RequestDigestTest {
  private static final RequestDigest LOOKUP = digest("body", "GET", "host", "/lookup/7", "red");

  private static RequestDigest digest(String body, String... fields) {
    ByteBuffer bytes = ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8));
    return RequestDigest.of(List.of(fields), bytes);
  }

  @Test
  public void sameRequestHasTheSameDigest() {
    assertEquals(digest("body", "GET", "host", "/lookup/7", "red"), LOOKUP);
  }

  @DataProvider
  public Object[][] others() {
    return new Object[][] {
      {digest("body2", "GET", "host", "/lookup/7", "red")},
      {digest("", "GET", "host", "/lookup/7", "red")},
      {digest("body", "POST", "host", "/lookup/7", "red")},
      {digest("body", "GET", "other", "/lookup/7", "red")},
      {digest("body", "GET", "host", "/lookup/8", "red")},
      {digest("body", "GET", "host", "/lookup/7", "blue")},
      {digest("body", "GET", "host/lookup", "/7", "red")},
      {digest("dbody", "GET", "host", "/lookup/7", "re")},
    };
  }

  @Test(dataProvider = "others")
  public void requestThatDiffersInOneFieldHasAnotherDigest(RequestDigest other) {
    assertNotEquals(other, LOOKUP);
  }
}
