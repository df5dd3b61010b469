package org.dandelionbeam.daemon.cli;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class JsonTextFormatterTest {

  @DataProvider
  public static Object[][] answers() {
    return new Object[][] {
      {"{}", List.of()},
      {"[]", List.of("-")},
      {"\"a\\nb\"", List.of("a\\nb")},
      {"{\"a\":1,\"inFlight\":null}", List.of("a          1", "in flight  -")},
      {"{\"names\":[\"x\",\"y\"]}", List.of("names  x, y")},
      {"{\"changes\":[\"+ a: 1\",\"- b\"]}", List.of("changes", "+ a: 1", "- b")},
      {
        "{\"epoch\":7,\"nodes\":[{\"id\":\"a\",\"open\":12},{\"id\":\"bcd\",\"late\":true}]}",
        List.of("epoch  7", "", "nodes", "ID   OPEN  LATE", "a    12    -", "bcd  -     true")
      },
      {"{\"a\":{\"b\":{\"c\":1}}}", List.of("a.b", "c  1")},
      {"[{\"o\":{\"x\":1,\"y\":[2,3]}}]", List.of("O", "x=1, y=2, 3")},
      {"{\"nodes\":[],\"marks\":{}}", List.of("nodes  -", "marks  -")},
    };
  }

  @Test(dataProvider = "answers")
  public void answerIsFormattedAsReadableText(String json, List<String> lines) throws IOException {
    assertEquals(JsonTextFormatter.lines(new ObjectMapper().readTree(json)), lines);
  }
}
