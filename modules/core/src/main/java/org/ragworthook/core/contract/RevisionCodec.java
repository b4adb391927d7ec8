package org.ragworthook.core.contract;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Base64;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ragworthook.core.error.ConfigException;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.store.Draft;

/**
 * Turns revisions into values for the platform and back. The platform takes up to 1 MB a
 * value; a text of 6,000 accounts comes near it, so a long text is kept compressed. What
 * is too long even so is refused before anything is written.
 */
public final class RevisionCodec {

	/** Texts of more characters than this are compressed. */
	public static final int COMPRESS_OVER = 64 * 1024;

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final String GZIP = "gzip";

	private RevisionCodec() {
	}

	/**
	 * Writes a revision as a value.
	 * @param revision what to write
	 * @return the JSON value
	 * @throws ConfigException if the value is over 1 MB
	 */
	public static String encode(Revision revision) {
		ObjectNode node = JSON.createObjectNode()
			.put("version", revision.version())
			.put("author", revision.author())
			.put("reason", revision.reason())
			.put("acceptedMillis", revision.accepted().toEpochMilli());
		if (revision.text().length() > COMPRESS_OVER) {
			node.put("encoding", GZIP).put("text", compress(revision.text()));
		}
		else {
			node.put("text", revision.text());
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
	 * Reads a revision from a value.
	 * @param value what {@link #encode} gave
	 * @return the revision
	 * @throws ConfigException if the value is not a revision
	 */
	public static Revision decode(String value) {
		try {
			JsonNode node = JSON.readTree(value);
			String text = node.path("text").asText();
			return new Revision(node.path("version").asLong(), node.path("author").asText(),
					node.path("reason").asText(), Instant.ofEpochMilli(node.path("acceptedMillis").asLong()),
					GZIP.equals(node.path("encoding").asText()) ? expand(text) : text);
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new ConfigException(ErrorCode.CONFIG_MALFORMED, "the stored object is not a revision", ex);
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

}
