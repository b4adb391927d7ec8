package org.ragworthook.daemon.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;
import org.ragworthook.wire.message.Output;

/**
 * The answer to one caller, put together from the pieces of all attempts.
 * <p>
 * Pieces without text, such as the greeting of a stream, are held back until text or the
 * end follows. If an attempt breaks before its first text, the next attempt greets again,
 * and a caller that had already got the first greeting would see two.
 */
final class CallerAnswer {

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final long MOST_UNREAD_BYTES = 8 << 20;

	private static final Set<Integer> OVERLOADED = Set.of(429, 503);

	private static final Set<Integer> REJECTIONS = Set.of(429, 502, 503, 504);

	private final HttpServerResponse response;

	private final boolean stream;

	private final boolean resumable;

	private final List<Buffer> held = new ArrayList<>();

	private final StringBuilder text = new StringBuilder();

	private int tokens;

	private long unread;

	private int expectedOffset;

	private int status = OK;

	private String contentType = "";

	CallerAnswer(HttpServerResponse response, boolean stream, boolean resumable) {
		this.response = Objects.requireNonNull(response, "response is null");
		this.stream = stream;
		this.resumable = resumable;
	}

	/**
	 * Begins to take the pieces of another attempt. What was held back of the one before
	 * is dropped.
	 */
	void nextAttempt() {
		this.held.clear();
		this.expectedOffset = 0;
		if (!sent()) {
			this.status = OK;
			this.contentType = "";
		}
	}

	/**
	 * Takes a piece.
	 * @param output the piece
	 * @return false if pieces before it are missing
	 */
	boolean take(Output output) {
		if (output.getOffset() < this.expectedOffset) {
			return true;
		}
		if (output.getOffset() > this.expectedOffset) {
			return false;
		}
		this.expectedOffset++;
		this.text.append(output.getText());
		this.tokens += output.getTokens();
		if (output.getStatus() != 0) {
			this.status = output.getStatus();
			this.contentType = output.getContentType();
		}
		if (!output.getBody().isEmpty()) {
			this.held.add(Buffer.buffer(output.getBody().toByteArray()));
		}
		if (this.stream && this.status == OK && (!this.resumable || !output.getText().isEmpty())) {
			flush();
		}
		return true;
	}

	private void flush() {
		if (this.response.ended() || this.response.closed()) {
			return;
		}
		head();
		if (!this.held.isEmpty()) {
			if (!this.response.headWritten()) {
				this.response.setChunked(true);
			}
			this.held.forEach(this::write);
			this.held.clear();
		}
	}

	// What a caller does not read stays in this process's memory. The engine goes on all
	// the same, so that a slow caller holds no slot; but one that has stopped reading
	// must
	// not take the memory of the others' answers.
	private void write(Buffer piece) {
		this.unread = this.response.writeQueueFull() ? this.unread + piece.length() : 0;
		if (!stuck()) {
			this.response.write(piece);
		}
	}

	/**
	 * Tells whether the caller has left too much unread.
	 * @return whether the answer is to be given up
	 */
	boolean stuck() {
		return this.unread > MOST_UNREAD_BYTES;
	}

	private void head() {
		if (!this.response.headWritten()) {
			this.response.setStatusCode(this.status);
			if (!this.contentType.isEmpty()) {
				this.response.putHeader(HttpHeaders.CONTENT_TYPE, this.contentType);
			}
		}
	}

	/**
	 * Ends the answer with all that is held.
	 */
	void end() {
		if (this.response.ended() || this.response.closed()) {
			return;
		}
		head();
		if (this.response.headWritten()) {
			flush();
			this.response.end();
		}
		else {
			Buffer whole = Buffer.buffer();
			this.held.forEach(whole::appendBuffer);
			this.response.end(whole);
		}
	}

	/**
	 * Tells whether the caller has got any of the answer.
	 * @return whether bytes were written
	 */
	boolean sent() {
		return this.response.headWritten();
	}

	/**
	 * Tells whether the upstream only answered that it cannot answer now.
	 * @return whether its status says so and the caller has got nothing yet
	 */
	boolean rejected() {
		return !sent() && REJECTIONS.contains(this.status);
	}

	/**
	 * Tells whether the upstream only answered that it does not know what was asked for.
	 * @return whether its status says so and the caller has got nothing yet
	 */
	boolean notFound() {
		return !sent() && this.status == NOT_FOUND;
	}

	/**
	 * Tells whether the upstream is at its limit, which is no fault of it.
	 * @return whether its status says so
	 */
	boolean overloaded() {
		return OVERLOADED.contains(this.status);
	}

	String text() {
		return this.text.toString();
	}

	int tokens() {
		return this.tokens;
	}

}
