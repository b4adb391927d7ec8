package org.ragworthook.core.job;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Splits a byte stream into lines and packs the lines into chunks that fit into one
 * stored object. A chunk holds the lines as they were sent, and its size is counted with
 * JSON escapes, so that it stays below the object store's limit also where that counts
 * the escaped text. Holds one chunk and one line in memory.
 */
final class ChunkPacker {

	/** The most lines in a chunk. */
	static final int MAX_ITEMS = 500;

	/** The largest size of a chunk, in bytes, counted with JSON escapes. */
	static final int MAX_BYTES = 900_000;

	private final LineValidator validator;

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private StringBuilder chunk = new StringBuilder();

	private int lineBytes;

	private int chunkBytes;

	private int chunkItems;

	private int lines;

	private int items;

	ChunkPacker(LineValidator validator) {
		this.validator = validator;
	}

	/**
	 * Processes the next bytes of the stream.
	 * @param data the next bytes; lines may be split at any byte
	 * @param chunkSink called with each chunk that is full
	 * @throws org.ragworthook.core.error.JobException if a line is invalid
	 */
	void write(byte[] data, Consumer<String> chunkSink) {
		int from = 0;
		for (int position = 0; position < data.length; position++) {
			if (data[position] == '\n') {
				append(data, from, position);
				endLine().ifPresent(chunkSink);
				from = position + 1;
			}
		}
		append(data, from, data.length);
	}

	private void append(byte[] data, int from, int to) {
		for (int position = from; position < to; position++) {
			this.lineBytes += ResultRecord.escapedBytes(data[position]);
		}
		if (this.lineBytes > MAX_BYTES) {
			throw BatchItem.invalidLine(this.lines + 1, "is longer than " + MAX_BYTES + " bytes", null);
		}
		this.line.write(data, from, to - from);
	}

	private Optional<String> endLine() {
		this.lines++;
		String text = decoded();
		int bytes = this.lineBytes + 2;
		this.line.reset();
		this.lineBytes = 0;
		if (text.isBlank()) {
			return Optional.empty();
		}
		this.validator.validate(this.lines, text);
		this.items++;
		boolean full = this.chunkItems >= MAX_ITEMS || this.chunkBytes + bytes > MAX_BYTES;
		Optional<String> ready = full ? flush() : Optional.empty();
		this.chunk.append((this.chunkItems > 0) ? "\n" : "").append(text);
		this.chunkBytes += bytes;
		this.chunkItems++;
		return ready;
	}

	private String decoded() {
		try {
			return StandardCharsets.UTF_8.newDecoder()
				.decode(ByteBuffer.wrap(this.line.toByteArray()))
				.toString()
				.stripTrailing();
		}
		catch (CharacterCodingException ex) {
			throw BatchItem.invalidLine(this.lines, "is not UTF-8", ex);
		}
	}

	/**
	 * Processes the last line, which may have no line end.
	 * @return a chunk that the last line completed, or empty; {@link #flush()} returns
	 * the rest
	 */
	Optional<String> endStream() {
		return (this.line.size() > 0) ? endLine() : Optional.empty();
	}

	/**
	 * Returns the lines that are in no chunk yet, as the last chunk.
	 * @return the chunk, or empty if there are no lines left
	 */
	Optional<String> flush() {
		if (this.chunkItems == 0) {
			return Optional.empty();
		}
		String text = this.chunk.toString();
		this.chunk = new StringBuilder();
		this.chunkBytes = 0;
		this.chunkItems = 0;
		return Optional.of(text);
	}

	int items() {
		return this.items;
	}

}
