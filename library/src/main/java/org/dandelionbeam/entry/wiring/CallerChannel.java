package org.dandelionbeam.entry.wiring;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** The caller's side of one request. */
interface CallerChannel {

  /** Writes a complete response and ends the request. */
  void respond(FullHttpResponse response);

  /** Writes the head of a response whose body follows in parts. */
  void writeHead(HttpResponse response);

  /** Writes a part of the body without flushing it. */
  void writePart(ByteBuf bytes);

  /** Flushes what was written. */
  void flush();

  /** Ends a response that was written in parts. */
  void end();

  /** Closes the connection, so that the caller sees that its response is incomplete. */
  void abort();

  /** Returns whether the write buffer has space for more bytes. */
  boolean isWritable();
}
