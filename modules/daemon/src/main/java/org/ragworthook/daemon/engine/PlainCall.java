package org.ragworthook.daemon.engine;

import java.nio.charset.StandardCharsets;

import io.vertx.core.buffer.Buffer;
import org.ragworthook.wire.message.Run;

/**
 * A request that is passed on as it is; its answer is passed back as it comes.
 */
final class PlainCall extends UpstreamCall {

	private static final int OK = 200;

	private static final String EVENT_STREAM = "text/event-stream";

	private static final String DONE = "[DONE]";

	private static final int TAIL_LENGTH = 32;

	private int status;

	private String contentType = "";

	private final Buffer whole = Buffer.buffer();

	private boolean passedOn;

	private String tail = "";

	PlainCall(Run run, CallListener listener, AnswerMemory.Held held) {
		super(run, listener, held);
	}

	@Override
	byte[] body() {
		return run().getBody().toByteArray();
	}

	@Override
	void head(int newStatus, String newContentType) {
		this.status = newStatus;
		this.contentType = newContentType;
	}

	/**
	 * Takes a part of the body. Whoever receives a stream holds one that is no success up
	 * to its end.
	 */
	@Override
	void data(Buffer data) {
		if ((!run().getStream() || this.status != OK) && !hold(data.length())) {
			return;
		}
		if (run().getStream()) {
			piece(data);
		}
		else {
			this.whole.appendBuffer(data);
		}
	}

	private void piece(Buffer data) {
		this.passedOn = true;
		String seen = this.tail + data.toString(StandardCharsets.ISO_8859_1);
		this.tail = seen.substring(Math.max(0, seen.length() - TAIL_LENGTH));
		output(new CallOutput(this.status, this.contentType, data.getBytes(), "", 0));
	}

	/**
	 * A body without a byte still has a head, which goes with an empty piece.
	 */
	@Override
	void responseEnded() {
		if (events() && !complete()) {
			broken("the stream ended before its last event");
			return;
		}
		if (!this.passedOn) {
			piece(this.whole);
		}
		end(CallEnd.Kind.ANSWERED, "answered with status " + this.status);
	}

	private boolean events() {
		return run().getStream() && this.status == OK && this.contentType.startsWith(EVENT_STREAM);
	}

	/**
	 * A stream of events is whole once its last event states so.
	 */
	@Override
	boolean complete() {
		return events() && this.tail.stripTrailing().endsWith(DONE);
	}

	@Override
	String text() {
		return "";
	}

	@Override
	int tokens() {
		return 0;
	}

}
