package org.ragworthook.daemon.engine;

import io.vertx.core.buffer.Buffer;
import org.ragworthook.wire.message.Run;

/**
 * A request that is passed on as it is; its answer is passed back as it comes.
 */
final class PlainCall extends UpstreamCall {

	private int status;

	private String contentType = "";

	private Buffer whole = Buffer.buffer();

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
			output(new CallOutput(this.status, this.contentType, data.getBytes(), "", 0));
		}
		else {
			this.whole.appendBuffer(data);
		}
	}

	@Override
	void responseEnded() {
		if (!run().getStream()) {
			output(new CallOutput(this.status, this.contentType, this.whole.getBytes(), "", 0));
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
