package org.ragworthook.core.contract;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Base64;
import java.util.Optional;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ragworthook.core.error.ConfigException;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.store.Draft;

/**
 * Encodes and decodes the snapshots and headers of revisions as values of the object
 * store. The store accepts values of up to 1 MB, and a contract with 6,000 accounts comes
 * close to that, so long texts are compressed. A text that is too large even when
 * compressed is rejected before anything is written.
 */
final class RevisionCodec {

	/** Texts with more characters than this are stored compressed. */
	static final int MAX_UNCOMPRESSED_CHARS = 64 * 1024;

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final String GZIP = "gzip";

	private RevisionCodec() {
	}

	// -- snapshots

	/**
	 * Encodes a text as a snapshot.
	 * @param text the text of a revision
	 * @return the JSON value
	 * @throws ConfigException with {@code CONFIG_TOO_LARGE} if the value exceeds 1 MB
	 */
	static String snapshot(String text) {
		ObjectNode node = JSON.createObjectNode();
		if (text.length() > MAX_UNCOMPRESSED_CHARS) {
			node.put("encoding", GZIP).put("text", compress(text));
		}
		else {
			node.put("text", text);
		}
		String value = node.toString();
		int bytes = value.getBytes(StandardCharsets.UTF_8).length;
		if (bytes > Draft.MAX_BYTES) {
			throw new ConfigException(ErrorCode.CONFIG_TOO_LARGE,
					"the text takes " + bytes + " bytes compressed, over " + Draft.MAX_BYTES);
		}
		return value;
	}

	/**
	 * Decodes the text of a snapshot.
	 * @param value a value returned by {@link #snapshot}
	 * @return the text
	 * @throws ConfigException with {@code CONFIG_MALFORMED} if the value is not a
	 * snapshot
	 */
	static String text(String value) {
		try {
			JsonNode node = JSON.readTree(value);
			String text = node.path("text").asText();
			return GZIP.equals(node.path("encoding").asText()) ? decompress(text) : text;
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new ConfigException(ErrorCode.CONFIG_MALFORMED, "the stored object is not a snapshot", ex);
		}
	}

	private static String compress(String text) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try (GZIPOutputStream gzip = new GZIPOutputStream(out)) {
			gzip.write(text.getBytes(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw new IllegalStateException("I/O error while compressing a string in memory", ex);
		}
		return Base64.getEncoder().encodeToString(out.toByteArray());
	}

	private static String decompress(String text) throws IOException {
		try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(Base64.getDecoder().decode(text)))) {
			return new String(gzip.readAllBytes(), StandardCharsets.UTF_8);
		}
	}

	// -- headers

	/**
	 * Encodes a header.
	 * @param header the header
	 * @return the JSON value
	 */
	static String header(RevisionHeader header) {
		ObjectNode node = JSON.createObjectNode()
			.put("version", header.version())
			.put("author", header.author())
			.put("reason", header.reason())
			.put("acceptedMillis", header.acceptedAt().toEpochMilli())
			.put("digest", header.digest())
			.put("snapshotVersion", header.snapshotVersion())
			.put("snapshot", header.snapshot());
		header.delta()
			.ifPresent((delta) -> node.putObject("delta")
				.put("at", delta.offset())
				.put("removed", delta.removedChars())
				.put("inserted", delta.inserted()));
		header.replacedSnapshot().ifPresent((name) -> node.put("replaced", name));
		return node.toString();
	}

	private static RevisionHeader header(JsonNode value) {
		JsonNode delta = value.path("delta");
		return new RevisionHeader(value.path("version").asLong(), value.path("author").asText(),
				value.path("reason").asText(), Instant.ofEpochMilli(value.path("acceptedMillis").asLong()),
				value.path("digest").asText(), value.path("snapshotVersion").asLong(), value.path("snapshot").asText(),
				delta.isObject() ? Optional.of(new TextDelta(delta.path("at").asInt(), delta.path("removed").asInt(),
						delta.path("inserted").asText())) : Optional.empty(),
				Optional.ofNullable(value.path("replaced").textValue()));
	}

	/**
	 * Decodes a header.
	 * @param value a value returned by {@link #header(RevisionHeader)}
	 * @return the header
	 * @throws ConfigException with {@code CONFIG_MALFORMED} if the value is not a header
	 */
	static RevisionHeader parseHeader(String value) {
		try {
			JsonNode node = JSON.readTree(value);
			if (node == null || !node.path("version").isIntegralNumber()) {
				throw new ConfigException(ErrorCode.CONFIG_MALFORMED, "the stored object is not a revision");
			}
			return header(node);
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new ConfigException(ErrorCode.CONFIG_MALFORMED, "the stored object is not a revision", ex);
		}
	}

}
