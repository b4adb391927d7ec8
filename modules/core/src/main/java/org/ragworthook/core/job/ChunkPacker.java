package org.ragworthook.core.job;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Cuts a stream of bytes into lines and packs the lines into chunks that the platform
 * takes. A chunk is the lines as they were sent, so that the platform's limit is kept
 * also when it counts the escapes of JSON. Holds one chunk and one line.
 */
final class ChunkPacker {

	/** The most lines in a chunk. */
	static final int MAX_ITEMS = 500;

	/** The most bytes in a chunk, with the escapes of JSON. */
	static final int MAX_BYTES = 900_000;

	private final LineValidator checks;

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private StringBuilder chunk = new StringBuilder();

	private int lineBytes;

	private int chunkBytes;

	private int chunkItems;

	private int lines;

	private int items;

	ChunkPacker(LineValidator checks) {
		this.checks = checks;
	}

	/**
	 * Takes a piece of the stream.
	 * @param piece the next bytes, wherever they were cut
	 * @param full takes each chunk that has become full
	 * @throws org.ragworthook.core.error.JobException if a line is broken
	 */
	void take(byte[] piece, Consumer<String> full) {
		int from = 0;
		for (int position = 0; position < piece.length; position++) {
			if (piece[position] == '\n') {
				append(piece, from, position);
				endLine().ifPresent(full);
				from = position + 1;
			}
		}
		append(piece, from, piece.length);
	}

	private void append(byte[] piece, int from, int to) {
		for (int position = from; position < to; position++) {
			this.lineBytes += ResultRecord.escapedBytes(piece[position]);
		}
		if (this.lineBytes > MAX_BYTES) {
			throw BatchItem.broken(this.lines + 1, "is longer than " + MAX_BYTES + " bytes", null);
		}
		this.line.write(piece, from, to - from);
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
		this.checks.check(this.lines, text);
		this.items++;
		boolean full = this.chunkItems >= MAX_ITEMS || this.chunkBytes + bytes > MAX_BYTES;
		Optional<String> ready = full ? last() : Optional.empty();
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
			throw BatchItem.broken(this.lines, "is not UTF-8", ex);
		}
	}

	/**
	 * Ends the stream.
	 * @return a chunk that became full with the last line, or empty; {@link #last()} has
	 * the rest
	 */
	Optional<String> end() {
		return (this.line.size() > 0) ? endLine() : Optional.empty();
	}

	/**
	 * Returns the lines that are in no chunk yet and begins a new chunk.
	 * @return the chunk, or empty if there are no lines left
	 */
	Optional<String> last() {
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
