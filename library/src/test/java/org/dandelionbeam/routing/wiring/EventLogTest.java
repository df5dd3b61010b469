package org.dandelionbeam.routing.wiring;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.LoggerFactory;
import org.testng.annotations.Test;

/** Lines of the log under load. */
public class EventLogTest {
  private static final int REQUESTS = 1_000;

  // Guards against a log without the state of a router while many of its requests fail.
  @Test
  public void linesAboutRequestsDoNotDisplaceLinesAboutState() {
    Logger logger = (Logger) LoggerFactory.getLogger("decisions");
    ListAppender<ILoggingEvent> written = new ListAppender<>();
    written.start();
    Level level = logger.getLevel();
    logger.setLevel(Level.INFO);
    logger.setAdditive(false);
    logger.addAppender(written);
    EventLog log = EventLog.of("EventLogTest", () -> 0L);
    for (int i = 0; i < REQUESTS; i++) {
      log.requestLine("refused").write();
    }
    log.line("event_loop_late").write();
    logger.detachAppender(written);
    logger.setAdditive(true);
    logger.setLevel(level);

    List<String> own =
        written.list.stream()
            .map(ILoggingEvent::getFormattedMessage)
            .filter(line -> line.contains("\"EventLogTest\""))
            .toList();
    assertTrue(own.get(own.size() - 1).contains("event_loop_late"), own.get(own.size() - 1));
    assertEquals(own.size(), 101);
  }

  // Guards against a busy router that spends its time on lines that nobody gets to see.
  @Test
  public void valuesOfLinesThatAreLeftOutAreNotFormatted() {
    EventLog log = EventLog.of("EventLogTest", () -> 0L);
    AtomicInteger formatted = new AtomicInteger();
    Object value =
        new Object() {
          @Override
          public String toString() {
            return "value " + formatted.incrementAndGet();
          }
        };
    for (int i = 0; i < REQUESTS; i++) {
      log.requestLine("refused").with("value", value).write();
    }

    assertEquals(formatted.get(), 100);
  }
}
