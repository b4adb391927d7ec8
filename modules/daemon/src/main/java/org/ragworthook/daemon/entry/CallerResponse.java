package org.ragworthook.daemon.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.ragworthook.daemon.http.StreamedResponse;
import org.ragworthook.wire.message.Output;

/**
 * The HTTP response to one caller, assembled from the output of all attempts.
 * <p>
 * Output without text, such as the first event of a stream, which names the role, is
 * buffered until text or the end of the response follows. If an attempt fails before its
 * first text, the next attempt sends that event again, and a caller that had already
 * received it would get it twice.
 */
final class CallerResponse {

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final long MAX_UNREAD_BYTES = 8 << 20;

	private static final Set<Integer> OVERLOADED = Set.of(429, 503);

	private static final Set<Integer> REJECTIONS = Set.of(429, 502, 503, 504);

	private final HttpServerResponse response;

	private final StreamedResponse streamed;

	private final boolean stream;

	private final boolean resumable;

	private final List<Buffer> pending = new ArrayList<>();

	private final StringBuilder text = new StringBuilder();

	private int tokens;

	private long unreadBytes;

	private int expectedOffset;

	private int status = OK;

	private String contentType = "";

	private int attemptStatus;

	private String attemptContentType = "";

	CallerResponse(HttpServerRequest request, boolean stream, boolean resumable) {
		this.streamed = StreamedResponse.of(request);
		this.response = request.response();
		this.stream = stream;
		this.resumable = resumable;
	}

	/**
	 * Prepares for the output of another attempt. Discards the buffered output of the
	 * previous attempt.
	 */
	void startAttempt() {
		this.pending.clear();
		this.expectedOffset = 0;
		this.attemptStatus = 0;
		this.attemptContentType = "";
	}

	/**
	 * Appends one output message of the current attempt, and ignores a repeated one.
	 * Output of an attempt that does not continue a begun response is dropped.
	 * @param output the output message
	 * @return false if output messages before this one are missing
	 */
	boolean append(Output output) {
		if (output.getOffset() < this.expectedOffset) {
			return true;
		}
		if (output.getOffset() > this.expectedOffset) {
			return false;
		}
		this.expectedOffset++;
		if (output.getStatus() != 0) {
			this.attemptStatus = output.getStatus();
			this.attemptContentType = output.getContentType();
		}
		if (!continuesResponse()) {
			return true;
		}
		this.status = this.attemptStatus;
		this.contentType = this.attemptContentType;
		this.text.append(output.getText());
		this.tokens += output.getTokens();
		if (!output.getBody().isEmpty()) {
			this.pending.add(Buffer.buffer(output.getBody().toByteArray()));
		}
		if (this.stream && this.status == OK && (!this.resumable || !output.getText().isEmpty())) {
			flush();
		}
		return true;
	}

	/**
	 * Returns whether the current attempt's answer can be joined to what the caller has
	 * received. An error that answers a continuation cannot, nor can a body of another
	 * type.
	 * @return whether the head of the answer has come and is that of the response, or
	 * nothing has been sent to the caller
	 */
	boolean continuesResponse() {
		return this.attemptStatus != 0
				&& (!sent() || (this.attemptStatus == this.status && this.attemptContentType.equals(this.contentType)));
	}

	private void flush() {
		if (this.response.ended() || this.response.closed()) {
			return;
		}
		writeHead();
		if (!this.pending.isEmpty()) {
			if (!this.response.headWritten()) {
				this.streamed.begin();
			}
			this.pending.forEach(this::write);
			this.pending.clear();
		}
	}

	// Output that the caller has not read stays in this process's memory. The upstream is
	// not slowed down, so a slow caller does not occupy a slot for longer. The limit
	// protects the memory from callers that have stopped reading.
	private void write(Buffer chunk) {
		this.unreadBytes = this.response.writeQueueFull() ? this.unreadBytes + chunk.length() : 0;
		if (!unreadLimitExceeded()) {
			this.response.write(chunk);
		}
	}

	/**
	 * Returns whether the output that the caller has not read exceeds the limit.
	 * @return whether the response should be abandoned
	 */
	boolean unreadLimitExceeded() {
		return this.unreadBytes > MAX_UNREAD_BYTES;
	}

	private void writeHead() {
		if (!this.response.headWritten()) {
			this.response.setStatusCode(this.status);
			if (!this.contentType.isEmpty()) {
				this.response.putHeader(HttpHeaders.CONTENT_TYPE, this.contentType);
			}
		}
	}

	/**
	 * Ends the response as whole after writing all buffered output.
	 */
	void end() {
		if (this.response.ended() || this.response.closed()) {
			return;
		}
		writeHead();
		if (this.response.headWritten()) {
			flush();
			this.streamed.complete();
		}
		else {
			Buffer body = Buffer.buffer();
			this.pending.forEach(body::appendBuffer);
			this.response.end(body);
		}
	}

	/**
	 * Breaks off a response that has begun.
	 */
	void breakOff() {
		this.streamed.breakOff();
	}

	/**
	 * Returns whether any part of the response has been sent to the caller.
	 * @return whether the response head has been written
	 */
	boolean sent() {
		return this.response.headWritten();
	}

	/**
	 * Returns whether the upstream rejected the request as overloaded or unavailable.
	 * @return whether the attempt's status is a rejection
	 */
	boolean rejected() {
		return REJECTIONS.contains(this.attemptStatus);
	}

	/**
	 * Returns whether the upstream answered that the requested resource does not exist.
	 * @return whether the attempt's status is 404
	 */
	boolean notFound() {
		return this.attemptStatus == NOT_FOUND;
	}

	/**
	 * Returns the status with which the upstream answered the current attempt.
	 * @return the HTTP status, or 0 if no head has come
	 */
	int attemptStatus() {
		return this.attemptStatus;
	}

	/**
	 * Returns whether the upstream reported overload, which does not count as a failure
	 * of the upstream.
	 * @return whether the status is 429 or 503
	 */
	boolean overloaded() {
		return OVERLOADED.contains(this.attemptStatus);
	}

	String text() {
		return this.text.toString();
	}

	int tokens() {
		return this.tokens;
	}

}
