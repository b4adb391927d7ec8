package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;

/**
 * Responds to a request about batch jobs over Vert.x.
 *
 * @param response the response to the caller
 */
record VertxJobResponse(VertxCallerResponse response) implements JobRequestHandler.JobResponse {

	@Override
	public void status(int status, String detail, Optional<Duration> retryAfter) {
		this.response.respond(status, detail, retryAfter);
	}

	@Override
	public void body(byte[] body, String type) {
		this.response.respond(type, Buffer.buffer(body));
	}

}
