package org.dandelionbeam.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stream as its caller sees it, over one or more attempts. Confined to one thread. */
final class CallerStream {
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  /** Callers abandon a stream after a gap of this length. */
  private static final int MAX_GAP_MS = 4_000;

  private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+)\n\n");
  private static final int OK = 200;
  private static final double MS_PER_SECOND = 1_000;

  private final String id;
  private final Prompt prompt;
  private final Recorder recorder;
  private final long deadlineNanos;
  private final Set<String> versions = new ConcurrentSkipListSet<>();
  private int attempts;
  private volatile int lastEvent;
  private volatile boolean wentOn;
  private int status;
  private double retryAfterS;
  private String firstAttempt;

  /** Tokens of the parts of a prompt: the first one, that of a session, and the request's own. */
  record Prompt(int first, int session, int own) {
    private static final int OUTPUT_TOKENS = 250;

    private String headers(String session, String request) {
      return String.format(
          "Token-Counts: %d,%d\r\nPrompt-Prefix: 5c1e07a2:%d,%x:%d,%x:%d\r\n",
          first + this.session + own,
          OUTPUT_TOKENS,
          first,
          session.hashCode(),
          this.session,
          request.hashCode(),
          own);
    }
  }

  CallerStream(String id, Prompt prompt, Recorder recorder) {
    this.id = id;
    this.prompt = prompt;
    this.recorder = recorder;
    deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LlmService.TIME_LIMIT_MS);
  }

  /** Sends an attempt and reads its answer until it ends or breaks off. */
  void attempt(Router router) {
    attempts++;
    status = 0;
    String attemptId = id + "-" + attempts;
    recorder.line("%s sent to %s after event %d", attemptId, router.name(), lastEvent);
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      InetAddress address = InetAddress.getByName(router.host());
      socket.connect(new InetSocketAddress(address, router.port()), CONNECT_TIMEOUT_MS);
      socket.setSoTimeout(MAX_GAP_MS);
      EngineStandIn.write(socket.getOutputStream(), request(attemptId));
      readAnswer(new HttpReader(new BufferedInputStream(socket.getInputStream())), attemptId);
    } catch (SocketTimeoutException e) {
      recorder.line("%s abandoned: no event for %d ms", attemptId, MAX_GAP_MS);
    } catch (IOException e) {
      recorder.line("%s broke off after event %d: %s", attemptId, lastEvent, e.getMessage());
    }
  }

  private String request(String attemptId) {
    String resumption =
        lastEvent == 0
            ? ""
            : "Last-Event-Id: " + lastEvent + "\r\nResumes: " + firstAttempt + "\r\n";
    return "POST /s/"
        + id
        + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: "
        + attemptId
        + "\r\nModel: m\r\n"
        + prompt.headers(id, attemptId)
        + "Deadline-Ms: "
        + leftMs()
        + "\r\nAuthorization: Bearer key-1\r\nContent-Length: 2\r\n"
        + resumption
        + "\r\n{}";
  }

  /** Returns how long the caller still waits. */
  long leftMs() {
    return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
  }

  private void readAnswer(HttpReader in, String attemptId) throws IOException {
    HttpReader.Head head = in.head();
    status = head.status();
    String retryAfter = head.header("retry-after");
    retryAfterS = retryAfter.isEmpty() ? 0 : Double.parseDouble(retryAfter);
    StringBuilder text = new StringBuilder();
    in.body(
        head,
        part -> {
          text.append(new String(part, StandardCharsets.UTF_8));
          if (status == OK) {
            readEvents(text, attemptId);
          }
        });
    recorder.line("%s ended: status %d, last event %d", attemptId, status, lastEvent);
    if (status != OK) {
      recorder.line("%s answer: retry-after %s, %s", attemptId, retryAfter, text);
    }
  }

  private void readEvents(StringBuilder text, String attemptId) {
    Matcher events = EVENT.matcher(text);
    int end = 0;
    while (events.find()) {
      int number = Integer.parseInt(events.group(1));
      if (number != lastEvent + 1) {
        recorder.line("%s got event %d after %d", attemptId, number, lastEvent);
      }
      firstAttempt = firstAttempt == null ? attemptId : firstAttempt;
      wentOn |= !attemptId.equals(firstAttempt);
      lastEvent = number;
      versions.add(events.group(2));
      end = events.end();
    }
    text.delete(0, end);
  }

  /** Waits as an answer asked, for a third of the time left at most. */
  void awaitRetry(int leastMs) throws InterruptedException {
    double askedMs = Math.min(retryAfterS * MS_PER_SECOND, leftMs() / 3.0);
    TimeUnit.MILLISECONDS.sleep((long) Math.max(leastMs, askedMs));
  }

  boolean isComplete() {
    return status == OK && lastEvent == LlmService.EVENTS;
  }

  /** Tells whether a later attempt has brought events after those of the first one. */
  boolean wentOn() {
    return wentOn;
  }

  int lastEvent() {
    return lastEvent;
  }

  /** Tells whether the stream holds events of several software versions. */
  boolean isMixed() {
    return versions.size() > 1;
  }
}
