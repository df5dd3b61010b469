package org.dandelionbeam.daemon.session;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Records what a caller sent, what it received, and what the router decided in between. */
final class SessionRecorder {
  private final RouterFixture router;
  private final StringBuilder transcript = new StringBuilder();
  private final List<String> ids = new ArrayList<>();

  SessionRecorder(RouterFixture router) {
    this.router = router;
  }

  RouterFixture router() {
    return router;
  }

  /** Sends a request on a connection of its own and reads the response. */
  Reply exchange(String request) throws IOException {
    try (RawCaller caller = RawCaller.connect(router.port())) {
      return exchange(caller, request);
    }
  }

  Reply exchange(RawCaller caller, String request) throws IOException {
    send(caller, request);
    return read(caller);
  }

  void send(RawCaller caller, String request) throws IOException {
    for (String line : request.split("\r\n")) {
      if (line.startsWith("X-Request-Id: ")) {
        ids.add(line.substring("X-Request-Id: ".length()));
      }
    }
    append(">>> request", request.replace("\r\n", "\n"));
    caller.send(request);
  }

  Reply read(RawCaller caller) {
    Reply reply = caller.read();
    String end = reply.complete() ? "" : "\n(cut)";
    append("<<< answer", reply.head() + "\n" + reply.body() + end);
    return reply;
  }

  String transcript() {
    router.awaitIdle();
    append("--- decisions", String.join("\n", router.router().decisions(ids)));
    return transcript.toString().replace(":" + router.port(), ":<port>");
  }

  private void append(String title, String text) {
    transcript.append(title).append('\n').append(text.stripTrailing()).append("\n\n");
  }
}
