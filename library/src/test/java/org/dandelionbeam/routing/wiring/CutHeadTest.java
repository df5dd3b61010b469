package org.dandelionbeam.routing.wiring;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** An upstream that stops within the head of its response and closes the connection. */
public class CutHeadTest {

  @DataProvider
  public Object[][] heads() {
    List<Object[]> rows = new ArrayList<>();
    for (String status : new String[] {"100 Go on", "200 OK", "204 None", "304 Same", "503 Full"}) {
      for (String framing :
          new String[] {"", "Content-Length: 10\r\n", "Transfer-Encoding: chunked\r\n"}) {
        String head = "HTTP/1.1 " + status + "\r\nX-Request-Id: a1\r\n" + framing + "\r\n";
        rows.add(new Object[] {head, ""});
        rows.add(new Object[] {head, "HTTP/1.1 100 Go on\r\n\r\n"});
      }
    }
    return rows.toArray(Object[][]::new);
  }

  // Guards against a response that looks complete, with an empty or short body, although its head
  // was cut short.
  @Test(dataProvider = "heads")
  public void responseWithoutAWholeHeadIsBroken(String head, String before) {
    for (int length = 0; length < head.length(); length++) {
      UpstreamChannel channel = new UpstreamChannel();
      UpstreamChannel.Exchange exchange = channel.send(HttpMethod.POST, "a1");
      channel.receive(before + head.substring(0, length));
      channel.netty().finishAndReleaseAll();

      assertEquals(exchange.outcome, "failed MAY_HAVE_RUN", "cut after " + length + " bytes");
      assertEquals(exchange.status, 0, "cut after " + length + " bytes");
    }
  }
}
