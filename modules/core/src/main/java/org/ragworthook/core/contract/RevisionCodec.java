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
 * Turns snapshots and heads of revisions into values for the platform and back. The
 * platform takes up to 1 MB a value; a text of 6,000 accounts comes near it, so a long
 * text is kept compressed. What is too long even so is refused before anything is
 * written.
 */
final class RevisionCodec {

	/** Texts of more characters than this are compressed. */
	static final int COMPRESS_OVER = 64 * 1024;

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final String GZIP = "gzip";

	private RevisionCodec() {
	}

	// -- snapshots

	/**
	 * Writes a text as a value.
	 * @param text the text
	 * @return the JSON value
	 * @throws ConfigException if the value is over 1 MB
	 */
	static String snapshot(String text) {
		ObjectNode node = JSON.createObjectNode();
		if (text.length() > COMPRESS_OVER) {
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
	 * Reads a text from a value.
	 * @param value what {@link #snapshot} gave
	 * @return the text
	 * @throws ConfigException if the value is no snapshot
	 */
	static String text(String value) {
		try {
			JsonNode node = JSON.readTree(value);
			String text = node.path("text").asText();
			return GZIP.equals(node.path("encoding").asText()) ? expand(text) : text;
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
			throw new IllegalStateException("a text in memory cannot fail to be written", ex);
		}
		return Base64.getEncoder().encodeToString(out.toByteArray());
	}

	private static String expand(String text) throws IOException {
		try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(Base64.getDecoder().decode(text)))) {
			return new String(gzip.readAllBytes(), StandardCharsets.UTF_8);
		}
	}

	// -- heads

	/**
	 * Writes a head as a value.
	 * @param head the head
	 * @return the JSON value
	 */
	static String head(RevisionHead head) {
		ObjectNode node = JSON.createObjectNode()
			.put("version", head.version())
			.put("author", head.author())
			.put("reason", head.reason())
			.put("acceptedMillis", head.acceptedAt().toEpochMilli())
			.put("digest", head.digest())
			.put("snapshotVersion", head.snapshotVersion())
			.put("snapshot", head.snapshot());
		head.delta()
			.ifPresent((delta) -> node.putObject("delta")
				.put("at", delta.at())
				.put("removed", delta.removed())
				.put("inserted", delta.inserted()));
		head.replaced().ifPresent((name) -> node.put("replaced", name));
		return node.toString();
	}

	private static RevisionHead head(JsonNode value) {
		JsonNode delta = value.path("delta");
		return new RevisionHead(value.path("version").asLong(), value.path("author").asText(),
				value.path("reason").asText(), Instant.ofEpochMilli(value.path("acceptedMillis").asLong()),
				value.path("digest").asText(), value.path("snapshotVersion").asLong(), value.path("snapshot").asText(),
				delta.isObject() ? Optional.of(new TextDelta(delta.path("at").asInt(), delta.path("removed").asInt(),
						delta.path("inserted").asText())) : Optional.empty(),
				Optional.ofNullable(value.path("replaced").textValue()));
	}

	/**
	 * Reads a head from a value.
	 * @param value what {@link #head(RevisionHead)} gave
	 * @return the head
	 * @throws ConfigException if the value is no head
	 */
	static RevisionHead parseHead(String value) {
		try {
			JsonNode node = JSON.readTree(value);
			if (node == null || !node.path("version").isIntegralNumber()) {
				throw new ConfigException(ErrorCode.CONFIG_MALFORMED, "the stored object is not a revision");
			}
			return head(node);
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new ConfigException(ErrorCode.CONFIG_MALFORMED, "the stored object is not a revision", ex);
		}
	}

}
