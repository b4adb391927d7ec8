package org.ragworthook.daemon.engine;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;

/**
 * A request for generated text, streamed from the engine.
 */
final class GenerationCall extends UpstreamCall {

	private static final int OK = 200;

	private static final int INTERNAL_ERROR = 500;

	/** The most bytes of an event. */
	private static final int MAX_EVENT_BYTES = 4 << 20;

	private static final String DATA = "data:";

	private static final String EVENT_STREAM = "text/event-stream";

	private static final String JSON = "application/json";

	private final Generation generation;

	private final GenerationEvents events;

	private final RecordParser lines = RecordParser.newDelimited("\n");

	private final Buffer refusal = Buffer.buffer();

	/** The bytes that were received since the last event that has text. */
	private long bytesWithoutText;

	private int status;

	private String contentType = "";

	GenerationCall(Generation generation, CallListener listener, AnswerMemory.Held held) {
		super(generation.run(), listener, held);
		this.generation = generation;
		this.events = new GenerationEvents(generation);
		this.lines.maxRecordSize(MAX_EVENT_BYTES);
		this.lines.exceptionHandler((failure) -> broken("an event is too long"));
		this.lines.handler(this::line);
	}

	@Override
	byte[] body() {
		return this.generation.engineBody();
	}

	@Override
	void head(int newStatus, String newContentType) {
		this.status = newStatus;
		this.contentType = newContentType;
	}

	@Override
	void data(Buffer data) {
		if (this.status == OK) {
			this.bytesWithoutText += data.length();
			this.lines.handle(data);
			if (this.bytesWithoutText > AnswerMemory.MAX_ANSWER_BYTES) {
				broken("the answer goes on without text");
			}
		}
		else if (hold(data.length())) {
			this.refusal.appendBuffer(data);
		}
	}

	private void line(Buffer line) {
		String text = line.toString(StandardCharsets.UTF_8).strip();
		if (!text.startsWith(DATA)) {
			return;
		}
		try {
			GenerationEvents.Piece piece = this.events.take(text.substring(DATA.length()).strip());
			if (!piece.text().isEmpty()) {
				this.bytesWithoutText = 0;
			}
			if (!piece.empty() && hold(heldBytes(piece))) {
				output(new CallOutput(OK, run().getStream() ? EVENT_STREAM : JSON, piece.body(), piece.text(),
						piece.tokens()));
			}
		}
		catch (IOException ex) {
			failed(ex);
		}
	}

	/**
	 * Returns what is held of an event: its text, for a resumed run, or all of it if it
	 * has no text, since the entry passes such events on with the next text only.
	 * @param piece what the event adds to the answer
	 * @return the number of bytes, about
	 */
	private static int heldBytes(GenerationEvents.Piece piece) {
		return piece.text().isEmpty() ? piece.body().length : piece.text().length();
	}

	/**
	 * An event that is not what it should be ends the call. The engine's own error,
	 * before any text, is its answer; anything else counts as an answer broken off.
	 * @param ex what is wrong with the event
	 */
	private void failed(IOException ex) {
		if (this.events.error() != null && this.events.tokens() == 0) {
			byte[] body = ("{\"error\":" + this.events.error() + "}").getBytes(StandardCharsets.UTF_8);
			output(new CallOutput(INTERNAL_ERROR, JSON, body, "", 0));
			end(CallEnd.Kind.ANSWERED, ex.getMessage());
		}
		else {
			broken(ex.getMessage());
		}
	}

	@Override
	void responseEnded() {
		if (this.status != OK) {
			output(new CallOutput(this.status, this.contentType, this.refusal.getBytes(), "", 0));
			end(CallEnd.Kind.ANSWERED, "answered with status " + this.status);
		}
		else {
			broken("the stream ended without a finish reason");
		}
	}

	/**
	 * An engine that is lost after its last token but before the mark of the end has
	 * answered. Resumed, it would generate beyond the end.
	 */
	@Override
	boolean complete() {
		return this.events.complete();
	}

	@Override
	void endWhole() {
		CallOutput last = run().getStream() ? new CallOutput(OK, EVENT_STREAM, this.events.end(), "", 0)
				: new CallOutput(OK, JSON, this.events.whole(), "", 0);
		if (last.body().length > 0) {
			output(last);
		}
		end(CallEnd.Kind.ANSWERED, "answered");
	}

	@Override
	String text() {
		return this.events.text();
	}

	@Override
	int tokens() {
		return this.events.tokens();
	}

}
