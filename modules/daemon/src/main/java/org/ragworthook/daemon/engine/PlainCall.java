package org.ragworthook.daemon.engine;

import io.vertx.core.buffer.Buffer;
import org.ragworthook.wire.message.Run;

/**
 * A request that is passed on as it is; its answer is passed back as it comes.
 */
final class PlainCall extends UpstreamCall {

	private int status;

	private String contentType = "";

	private final Buffer whole = Buffer.buffer();

	private boolean passedOn;

	PlainCall(Run run, CallListener listener) {
		super(run, listener);
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

	@Override
	void data(Buffer data) {
		if (run().getStream()) {
			piece(data);
		}
		else {
			this.whole.appendBuffer(data);
		}
	}

	private void piece(Buffer data) {
		this.passedOn = true;
		output(new CallOutput(this.status, this.contentType, data.getBytes(), "", 0));
	}

	/**
	 * A body without a byte still has a head, which goes with an empty piece.
	 */
	@Override
	void responseEnded() {
		if (!this.passedOn) {
			piece(this.whole);
		}
		end(CallEnd.Kind.ANSWERED, "answered with status " + this.status);
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
