package org.dandelionbeam.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.joran.JoranConfigurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.joran.spi.JoranException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.slf4j.event.Level;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LogFormatTest {

  private static String line(LogFormat format) throws JoranException {
    LoggerContext context = new LoggerContext();
    LogbackMDCAdapter values = new LogbackMDCAdapter();
    context.setMDCAdapter(values);
    JoranConfigurator configurator = new JoranConfigurator();
    configurator.setContext(context);
    configurator.doConfigure(LogFormat.class.getClassLoader().getResource(format.resource()));
    values.put("request", "r-1");
    values.put("team", "camps");
    values.put("code", "QUEUE_FULL");
    Logger logger = context.getLogger("entry");
    ILoggingEvent event =
        new LoggingEvent(
            LogFormatTest.class.getName(),
            logger,
            ch.qos.logback.classic.Level.INFO,
            "ended \"{}\"",
            null,
            new Object[] {"late"});
    ConsoleAppender<ILoggingEvent> appender =
        (ConsoleAppender<ILoggingEvent>) context.getLogger("ROOT").getAppender("STDERR");
    assertEquals(appender.getTarget(), "System.err");
    return new String(appender.getEncoder().encode(event), StandardCharsets.UTF_8);
  }

  @Test
  public void jsonLineIsOneObjectWithTheRequest() throws JoranException, IOException {
    String line = line(LogFormat.JSON);
    JsonNode json = new ObjectMapper().readTree(line);

    assertEquals(line.strip().lines().count(), 1);
    assertEquals(json.path("mdc").path("request").asText(), "r-1");
    assertEquals(json.path("mdc").path("team").asText(), "camps");
    assertEquals(json.path("mdc").path("code").asText(), "QUEUE_FULL");
    assertEquals(json.path("formattedMessage").asText(), "ended \"late\"");
    assertEquals(json.path("level").asText(), "INFO");
    assertFalse(json.has("arguments"));
  }

  @Test
  public void plainLineNamesTheRequest() throws JoranException {
    String line = line(LogFormat.PLAIN);

    assertTrue(
        line.contains(" request=r-1 team=camps code=QUEUE_FULL entry: ended \"late\""), line);
  }

  @DataProvider
  public static Object[][] formats() {
    return new Object[][] {{LogFormat.PLAIN}, {LogFormat.JSON}};
  }

  @Test(dataProvider = "formats")
  public void chosenFormatAndLevelReachLogback(LogFormat format) {
    String file = System.getProperty("logback.configurationFile");
    String level = System.getProperty("DANDELIONBEAM_LOG_LEVEL");
    try {
      format.configureProcess(Level.WARN);
      assertEquals(System.getProperty("logback.configurationFile"), format.resource());
      assertEquals(System.getProperty("DANDELIONBEAM_LOG_LEVEL"), "WARN");
    } finally {
      restore("logback.configurationFile", file);
      restore("DANDELIONBEAM_LOG_LEVEL", level);
    }
  }

  private static void restore(String name, String value) {
    if (value == null) {
      System.clearProperty(name);
    } else {
      System.setProperty(name, value);
    }
  }
}
