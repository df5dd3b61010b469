package org.dandelionbeam.config.wiring;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.apache.commons.codec.digest.DigestUtils;
import org.dandelionbeam.config.ConfigCodec;
import org.dandelionbeam.config.ConfigDiff;
import org.dandelionbeam.config.ConfigDocument;
import org.dandelionbeam.config.ConfigMerge;
import org.dandelionbeam.config.ConfigNode;
import org.dandelionbeam.config.ConfigNode.ListNode;
import org.dandelionbeam.config.ConfigNode.MapNode;
import org.dandelionbeam.config.ConfigNode.Scalar;
import org.dandelionbeam.config.ConfigNode.ScalarType;
import org.dandelionbeam.config.ConfigNode.Source;
import org.dandelionbeam.config.ConfigProblem;
import org.dandelionbeam.config.ConfigReader;
import org.dandelionbeam.config.ConfigReader.Result;
import org.dandelionbeam.config.InternTable;

/**
 * Encodes configurations as JSON with sorted keys, compressed with gzip above a size limit.
 *
 * <p>A delta consists of the overlay between two documents and the SHA-256 digest of the newer one,
 * which detects a delta that is applied to the wrong document.
 */
public final class JsonConfigCodec implements ConfigCodec {
  private static final JsonFactory JSON = new JsonFactory();
  private static final int COMPRESS_ABOVE_BYTES = 100 << 10;
  private static final int MAX_UNCOMPRESSED_BYTES = 32 << 20;
  private static final int GZIP_FIRST_BYTE = 0x1f;
  private static final ConfigDocument EMPTY_DOCUMENT =
      ConfigDocument.of(new MapNode(Source.STORED, Map.of()), InternTable.empty());
  private static final String DIGEST_KEY = "to";
  private static final String OVERLAY_KEY = "overlay";

  /**
   * Encodes a document.
   *
   * @param document document to encode
   * @return the bytes to store; the same version of the program encodes equal documents to equal
   *     bytes
   */
  public byte[] encode(ConfigDocument document) {
    return compressed(json(document.toNode()));
  }

  /**
   * Returns the stored form of an empty configuration.
   *
   * @return the encoded empty document
   */
  public byte[] encodedEmpty() {
    return encode(EMPTY_DOCUMENT);
  }

  /**
   * Decodes a document without validating its configuration.
   *
   * @param stored the stored bytes
   * @return the document
   * @throws IllegalArgumentException if the bytes are not a stored document
   */
  public ConfigDocument document(byte[] stored) {
    return ConfigDocument.fromNode(tree(stored));
  }

  @Override
  public Result decode(byte[] stored, long revision) {
    try {
      return document(stored).read(revision);
    } catch (IllegalArgumentException e) {
      return new Result.Refused(List.of(unreadable(e)));
    }
  }

  @Override
  public Prepared prepare(Optional<byte[]> base, ConfigNode tree, String change) {
    ConfigDocument before;
    try {
      before = base.map(this::document).orElse(EMPTY_DOCUMENT);
    } catch (IllegalArgumentException e) {
      return new Prepared.Invalid(List.of(unreadable(e)));
    }
    Result result = ConfigReader.read(tree, before.table(), 0);
    if (result instanceof Result.Accepted read) {
      return new Prepared.Ready(encode(before.withChange(tree, read.table(), change)));
    }
    return new Prepared.Invalid(((Result.Refused) result).problems());
  }

  @Override
  public List<String> changeIds(byte[] stored) {
    try {
      return document(stored).changeIds();
    } catch (IllegalArgumentException e) {
      return List.of();
    }
  }

  @Override
  public List<String> diff(byte[] from, byte[] to) {
    try {
      return ConfigDiff.lines(document(from).tree(), document(to).tree());
    } catch (IllegalArgumentException e) {
      return List.of("~ the value in the platform store cannot be decoded: " + e.getMessage());
    }
  }

  @Override
  public Optional<byte[]> delta(byte[] from, byte[] to) {
    ConfigNode older = tree(from);
    ConfigNode newer = tree(to);
    Map<String, ConfigNode> entries = new LinkedHashMap<>();
    entries.put(DIGEST_KEY, digest(json(newer)));
    entries.put(OVERLAY_KEY, ConfigDiff.overlay(older, newer));
    byte[] delta = compressed(json(new MapNode(Source.STORED, entries)));
    boolean isUseful = delta.length < to.length && patch(from, delta).isPresent();
    return isUseful ? Optional.of(delta) : Optional.empty();
  }

  @Override
  public Optional<byte[]> patch(byte[] from, byte[] delta) {
    try {
      return patchTree(tree(from), tree(delta));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static ConfigProblem unreadable(IllegalArgumentException e) {
    return ConfigProblem.at(Source.STORED, "", "a stored configuration", e.getMessage());
  }

  private static Optional<byte[]> patchTree(ConfigNode from, ConfigNode delta) {
    if (!(delta instanceof MapNode map) || !map.entries().containsKey(OVERLAY_KEY)) {
      return Optional.empty();
    }
    List<ConfigProblem> problems = new ArrayList<>();
    ConfigNode patched = ConfigMerge.merge(from, map.entries().get(OVERLAY_KEY), problems);
    byte[] json = json(patched);
    boolean isExact = problems.isEmpty() && digest(json).equals(map.entries().get(DIGEST_KEY));
    return isExact ? Optional.of(compressed(json)) : Optional.empty();
  }

  private static Scalar digest(byte[] json) {
    return new Scalar(Source.STORED, ScalarType.TEXT, DigestUtils.sha256Hex(json));
  }

  private static ConfigNode tree(byte[] stored) {
    try (JsonParser tokens = JSON.createParser(uncompressed(stored))) {
      List<ConfigProblem> problems = new ArrayList<>();
      ConfigNode tree = new TreeParser(tokens, line -> Source.STORED, problems).parse();
      if (!problems.isEmpty()) {
        throw new IllegalArgumentException(problems.get(0).message());
      }
      return tree;
    } catch (IOException e) {
      throw new IllegalArgumentException("not well-formed JSON", e);
    }
  }

  private static byte[] json(ConfigNode tree) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(bytes)) {
      write(json, tree);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static void write(JsonGenerator json, ConfigNode node) throws IOException {
    if (node instanceof MapNode map) {
      json.writeStartObject();
      for (Map.Entry<String, ConfigNode> entry : new TreeMap<>(map.entries()).entrySet()) {
        json.writeFieldName(entry.getKey());
        write(json, entry.getValue());
      }
      json.writeEndObject();
    } else if (node instanceof ListNode list) {
      json.writeStartArray();
      for (ConfigNode item : list.items()) {
        write(json, item);
      }
      json.writeEndArray();
    } else if (node instanceof Scalar scalar) {
      writeScalar(json, scalar);
    }
  }

  private static void writeScalar(JsonGenerator json, Scalar scalar) throws IOException {
    switch (scalar.type()) {
      case INTEGER -> json.writeNumber(Long.parseLong(scalar.text()));
      case DECIMAL -> json.writeNumber(Double.parseDouble(scalar.text()));
      case BOOLEAN -> json.writeBoolean(Boolean.parseBoolean(scalar.text()));
      case NULL -> json.writeNull();
      default -> json.writeString(scalar.text());
    }
  }

  private static byte[] compressed(byte[] json) {
    if (json.length <= COMPRESS_ABOVE_BYTES) {
      return json;
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
      gzip.write(json);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static byte[] uncompressed(byte[] stored) throws IOException {
    if (stored.length == 0 || stored[0] != GZIP_FIRST_BYTE) {
      return stored;
    }
    try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(stored))) {
      byte[] json = gzip.readNBytes(MAX_UNCOMPRESSED_BYTES + 1);
      if (json.length > MAX_UNCOMPRESSED_BYTES) {
        throw new IOException("larger than " + MAX_UNCOMPRESSED_BYTES + " bytes when uncompressed");
      }
      return json;
    }
  }
}
