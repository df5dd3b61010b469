package org.dandelionbeam.entry.wiring;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** The caller's side of one request. */
interface CallerChannel {

  /** Writes a whole answer and ends the request. */
  void respond(FullHttpResponse response);

  /** Writes the head of an answer whose body follows in parts. */
  void writeHead(HttpResponse response);

  /** Writes a part of the body without flushing. */
  void writePart(ByteBuf bytes);

  /** Sends what was written. */
  void flush();

  /** Ends an answer that was written in parts. */
  void end();

  /** Closes the connection, so that the caller sees that its answer is cut. */
  void abort();

  /** Tells whether the caller takes more bytes now. */
  boolean isWritable();
}
