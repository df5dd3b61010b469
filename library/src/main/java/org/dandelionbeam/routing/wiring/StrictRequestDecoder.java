package org.dandelionbeam.routing.wiring;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Rejects requests with ambiguous body length, which could be used for request smuggling. */
final class StrictRequestDecoder extends HttpRequestDecoder {
  private static final int MAX_CHUNK_BYTES = 16_384;

  StrictRequestDecoder(int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setAllowDuplicateContentLengths(false));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "request has both Content-Length and Transfer-Encoding: chunked; only one is allowed");
  }
}
