package org.ragworthook.gateway.online;

import java.time.Duration;
import java.util.Optional;

import io.netty.handler.codec.http.HttpResponse;

/**
 * The response to a caller.
 */
interface CallerResponse {

	/**
	 * Sends the status and the end-to-end headers of an upstream's response.
	 * @param head the head of the upstream's response
	 * @param eventStream whether the body is a stream of events, whose length is not
	 * known before its end, since several upstreams may send parts of it
	 */
	void head(HttpResponse head, boolean eventStream);

	/**
	 * Sends a part of the body.
	 * @param data the bytes; not to be changed by the caller of this method afterwards
	 */
	void write(byte[] data);

	/**
	 * Ends the response as complete.
	 */
	void end();

	/**
	 * Ends the connection without ending the response, so that the caller sees that it is
	 * incomplete: by a reset where an orderly close marks the end of a response.
	 */
	void abort();

	/**
	 * Sends a response of the gateway itself.
	 * @param status the HTTP status
	 * @param detail a message for the caller
	 * @param retryAfter the time after which the caller may retry, or empty for no
	 * {@code Retry-After}
	 */
	void respond(int status, String detail, Optional<Duration> retryAfter);

	/**
	 * Returns whether the memory of the caller's connection is used up because the caller
	 * reads slowly.
	 * @return whether to wait for {@link #onWritable} before the next write
	 */
	boolean writeQueueFull();

	/**
	 * Sets the listener that is called once when there is room again.
	 * @param listener the listener
	 */
	void onWritable(Runnable listener);

}
